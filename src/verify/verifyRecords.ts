import type {
  AnswerRecord, DispatchRecord, SentRecord, VerifyRecord,
} from './records';

/** What must always hold, as far as callers and engines can see it. */
export type Invariant = 'dispatchedOnce' | 'wholeAndOwn' | 'notRunIsTrue' | 'sameForResend' | 'answered';

/** An invariant that does not hold, with the story of the request. */
export interface BrokenInvariant {
  readonly invariant: Invariant;
  readonly identity: string;
  readonly message: string;
  readonly story: readonly string[];
}

/** All that is known of one identity. */
interface Case {
  readonly identity: string;
  readonly sent: readonly SentRecord[];
  readonly answers: readonly AnswerRecord[];
  readonly dispatches: readonly DispatchRecord[];
}

type Check = (item: Case) => string | undefined;

const OK = 200;

const isWhole = ({ status }: AnswerRecord): boolean => status === OK;

const checks: Readonly<Record<Invariant, Check>> = {
  dispatchedOnce: ({ dispatches }) => {
    const streams = new Set(dispatches.map(({ engine, stream }) => `${engine}/${stream}`));
    return streams.size > 1 ? `dispatched ${streams.size} times` : undefined;
  },
  wholeAndOwn: ({ answers }) => {
    const wrong = answers.find((answer) => isWhole(answer) && answer.text !== answer.expected);
    return wrong && `answer of ${wrong.request} is not whole or belongs to another`;
  },
  notRunIsTrue: ({ answers, dispatches }) => {
    const isUnanswered = !answers.some(isWhole);
    const claimed = answers.some(({ run }) => run === 'notRun');
    const latest = answers.at(-1)?.run === 'notRun';
    return claimed && latest && isUnanswered && dispatches.length > 0
      ? 'told "not run", but an engine has it'
      : undefined;
  },
  sameForResend: ({ answers }) => {
    const texts = new Set(answers.filter(isWhole).map(({ text }) => text));
    return texts.size > 1 ? `${texts.size} different answers to one identity` : undefined;
  },
  answered: ({ sent, answers }) => {
    const known = new Set(answers.map(({ request }) => request));
    const open = sent.filter(({ request }) => !known.has(request));
    return open.length > 0 ? `${open.length} sent and never answered` : undefined;
  },
};

const buildCase = (identity: string, records: readonly VerifyRecord[]): Case => {
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

const tellStory = ({ sent, answers, dispatches }: Case): string[] => [
  ...sent.map(({ request }) => `sent ${request}`),
  ...dispatches.map(({ engine, stream }) => `dispatched to ${engine} as ${stream}`),
  ...answers.map(({ request, status, run }) => `answer of ${request}: ${status} ${run}`),
];

/**
 * Lists every broken invariant in what callers and engines recorded; our own logs are not asked.
 *
 * @example
 * const broken = verifyRecords(parseRecords(text));
 */
export const verifyRecords = (records: readonly VerifyRecord[]): BrokenInvariant[] => {
  const identities = new Set(records
    .flatMap((record) => (record.kind === 'sent' ? [record.identity] : [])));
  return [...identities]
    .map((identity) => buildCase(identity, records))
    .flatMap((item) => Object.entries(checks).flatMap(([invariant, check]) => {
      const message = check(item);
      return message === undefined
        ? []
        : [{
          invariant: invariant as Invariant,
          identity: item.identity,
          message,
          story: tellStory(item),
        }];
    }));
};
