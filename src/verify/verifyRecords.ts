import type {
  AnswerRecord, DispatchRecord, SentRecord, VerifyRecord,
} from './records';

/**
 * Invariants that callers and engines can observe.
 *
 * - `dispatchedOnce`: all dispatches of a request belong to one stream.
 * - `wholeAndOwn`: a complete answer is the correct one for its request.
 * - `notRunIsTrue`: a request that was last reported as not run was never dispatched.
 * - `sameForResend`: all resends of a request get the same answer.
 * - `answered`: every request that was sent has a recorded result.
 */
export type Invariant = 'dispatchedOnce' | 'wholeAndOwn' | 'notRunIsTrue' | 'sameForResend' | 'answered';

/** A violated invariant, with the events of the request. */
export interface InvariantViolation {
  readonly invariant: Invariant;
  readonly identity: string;
  readonly message: string;
  readonly story: readonly string[];
}

/** All records of one identity. */
interface RequestHistory {
  readonly identity: string;
  readonly sent: readonly SentRecord[];
  readonly answers: readonly AnswerRecord[];
  readonly dispatches: readonly DispatchRecord[];
}

type InvariantCheck = (history: RequestHistory) => string | undefined;

const OK = 200;

const isComplete = ({ status }: AnswerRecord): boolean => status === OK;

const invariantChecks: Readonly<Record<Invariant, InvariantCheck>> = {
  dispatchedOnce: ({ dispatches }) => {
    const streams = new Set(dispatches.map(({ engine, stream }) => `${engine}/${stream}`));
    return streams.size > 1 ? `dispatched ${streams.size} times` : undefined;
  },
  wholeAndOwn: ({ answers }) => {
    const wrongAnswer = answers
      .find((answer) => isComplete(answer) && answer.text !== answer.expected);
    return wrongAnswer && `answer of ${wrongAnswer.request} is incomplete or belongs to another request`;
  },
  notRunIsTrue: ({ answers, dispatches }) => {
    const isUnanswered = !answers.some(isComplete);
    const wasReportedNotRun = answers.some(({ run }) => run === 'notRun');
    const isLatestNotRun = answers.at(-1)?.run === 'notRun';
    return wasReportedNotRun && isLatestNotRun && isUnanswered && dispatches.length > 0
      ? 'reported as not run, but dispatched to an engine'
      : undefined;
  },
  sameForResend: ({ answers }) => {
    const texts = new Set(answers.filter(isComplete).map(({ text }) => text));
    return texts.size > 1 ? `${texts.size} different answers to one identity` : undefined;
  },
  answered: ({ sent, answers }) => {
    const answeredRequests = new Set(answers.map(({ request }) => request));
    const unanswered = sent.filter(({ request }) => !answeredRequests.has(request));
    return unanswered.length > 0 ? `${unanswered.length} sent but never answered` : undefined;
  },
};

const buildHistory = (identity: string, records: readonly VerifyRecord[]): RequestHistory => {
  const sent = records.filter((record): record is SentRecord => (
    record.kind === 'sent' && record.identity === identity));
  const requests = new Set(sent.map(({ request }) => request));
  const prompts = new Set(sent.map(({ prompt }) => prompt));
  return {
    identity,
    sent,
    answers: records.filter((record): record is AnswerRecord => (
      record.kind === 'answer' && requests.has(record.request))),
    dispatches: records.filter((record): record is DispatchRecord => (
      record.kind === 'dispatch' && prompts.has(record.prompt))),
  };
};

const formatHistory = ({ sent, answers, dispatches }: RequestHistory): string[] => [
  ...sent.map(({ request }) => `sent ${request}`),
  ...dispatches.map(({ engine, stream }) => `dispatched to ${engine} as ${stream}`),
  ...answers.map(({ request, status, run }) => `answer of ${request}: ${status} ${run}`),
];

/**
 * Lists every violated invariant in the records of callers and engines. The logs of the system
 * itself are not used.
 *
 * @example
 * const violations = verifyRecords(parseRecords(text));
 */
export const verifyRecords = (records: readonly VerifyRecord[]): InvariantViolation[] => {
  const identities = new Set(records
    .flatMap((record) => (record.kind === 'sent' ? [record.identity] : [])));
  return [...identities]
    .map((identity) => buildHistory(identity, records))
    .flatMap((history) => Object.entries(invariantChecks).flatMap(([invariant, check]) => {
      const message = check(history);
      return message === undefined
        ? []
        : [{
          invariant: invariant as Invariant,
          identity: history.identity,
          message,
          story: formatHistory(history),
        }];
    }));
};
