/** Checks of what callers, servers and processes recorded; the bounds are the rules' own. */
import { ONCE_KINDS, readLimitMs, STREAM_KINDS } from './soakDocument';
import type { DocumentChange } from './soakPlan';
import { countEvents, formatPlain, formatStream } from './soakRecords';
import type { Attempt, EntryStop, ServerRun } from './soakRecords';

/** All that was recorded in a run. */
export interface SoakRecords {
  readonly graceMs: number;
  readonly attempts: readonly Attempt[];
  /** By the id of the request. */
  readonly runs: ReadonlyMap<string, readonly ServerRun[]>;
  readonly stops: readonly EntryStop[];
  /** Documents and when they were published. */
  readonly changes: readonly { readonly at: number; readonly change: DocumentChange }[];
  /** What processes wrote or did that no rule allows. */
  readonly oddities: readonly string[];
}

/** Number of requests by what came of them, and of stops. */
export type SoakTotals = Readonly<Record<string, number>>;

type AttemptCheck = (records: SoakRecords, attempt: Attempt) => boolean;

/** Callers may send to an entry for so long after its signal, in milliseconds. */
const DIRECTORY_AGE_MS = 3_000;
/** A server that works on a request in the last sixth of the grace is excused. */
const WORK_SHARE = 5 / 6;
/** No caller waits longer than this beyond its time limit, in milliseconds. */
const LATE_MS = 1_000;
/** A request that waited longer for the close of its connection did not just cross it. */
const CLOSE_RACE_MS = 1_000;
/** Timers of an entry and of a caller count whole milliseconds, and may each be one early. */
const TIMER_MS = 2;
const REFUSED: readonly number[] = [429, 503];
/** What an entry writes when it stops. */
const STOP_MESSAGES = ['entry shuts down', 'entry closes its connections', 'entry shut down'] as const;

const findStop = ({ stops }: SoakRecords, { entry, endedAt }: Attempt): EntryStop | undefined => (
  stops.findLast(({ name, at }) => name === entry && at <= endedAt));

const findRuns = ({ runs }: SoakRecords, { id }: Attempt): readonly ServerRun[] => (
  runs.get(id) ?? []);

const wasRun: AttemptCheck = (records, attempt) => findRuns(records, attempt).length > 0;

const isWholeAnswer = ({ reason, status }: Attempt): boolean => reason === '' && status === 200;

const hasWholeBody = ({ id, request, body }: Attempt): boolean => (
  body === (STREAM_KINDS.includes(request.kind)
    ? formatStream(id, countEvents(request))
    : formatPlain(id)));

const isRefused = ({ reason, status }: Attempt): boolean => (
  reason === '' && REFUSED.includes(status));

const isTimedOut: AttemptCheck = ({ changes }, { request, sentAt, endedAt }) => {
  const published = changes.filter(({ at }) => at <= endedAt).map(({ change }) => change);
  return endedAt - sentAt >= readLimitMs(request, published) - TIMER_MS;
};

/** Whether the grace was too short for the work on a request that came in time. */
const isGraceOver: AttemptCheck = (records, attempt) => {
  const stop = findStop(records, attempt);
  const workedUntil = findRuns(records, attempt).at(-1)?.endedAt ?? Infinity;
  return stop !== undefined && attempt.sentAt <= stop.at + DIRECTORY_AGE_MS
    && workedUntil >= stop.at + WORK_SHARE * records.graceMs;
};

/** What can come of a request; the first one that holds is named. */
const outcomes: Record<string, AttemptCheck> = {
  complete: (records, attempt) => isWholeAnswer(attempt) && hasWholeBody(attempt),
  refused: (records, attempt) => isRefused(attempt),
  timedOut: isTimedOut,
  answeredWithoutRun: (records, attempt) => attempt.reason === '' && !wasRun(records, attempt),
  notConnected: (records, { reason }) => reason.includes('ECONNREFUSED'),
  unanswered: (records, attempt) => !wasRun(records, attempt),
  cutExcused: isGraceOver,
  cut: () => true,
};

const classify = (records: SoakRecords, attempt: Attempt): string => (
  Object.keys(outcomes).find((name) => outcomes[name]?.(records, attempt)) ?? '');

/** Checks of one request; each returns whether the request breaks its rule. */
const attemptChecks: Record<string, AttemptCheck> = {
  'was run, and its caller got no whole answer': (records, attempt) => (
    classify(records, attempt) === 'cut'),
  'was read, and got no whole answer or refusal': (records, attempt) => {
    const hasWaited = attempt.endedAt - attempt.sentAt > CLOSE_RACE_MS;
    return classify(records, attempt) === 'unanswered' && (attempt.status !== 0 || hasWaited);
  },
  'was refused as not run, and was run': (records, attempt) => (
    isRefused(attempt) && wasRun(records, attempt)),
  'may be run once, and was run again': (records, attempt) => (
    ONCE_KINDS.includes(attempt.request.kind) && findRuns(records, attempt).length > 1),
  'has a part of an answer framed as a whole one': (records, attempt) => (
    isWholeAnswer(attempt) && !hasWholeBody(attempt)),
  'let its caller wait beyond its time limit': (records, { request, sentAt, endedAt }) => (
    endedAt - sentAt > request.limitMs + LATE_MS),
};

/** Checks of one stop; each returns whether the stop breaks its rule. */
const stopChecks: Record<string, (stop: EntryStop) => boolean> = {
  // A process that does not listen yet may have no handler of signals.
  'did not end by itself with exit code 0 before the end of its grace': ({ hadStarted, end }) => (
    end?.code !== 0 && (hadStarted || end?.signal !== 'SIGTERM')),
  'did not write the lines of its shutdown': ({ end, lines }) => end?.code === 0
    && !STOP_MESSAGES.every((message) => lines.some((line) => line.includes(`"message":"${message}"`))),
};

/** Formats a request with its times relative to the signal to its entry. */
const formatAttempt = (records: SoakRecords, attempt: Attempt): string => {
  const stop = findStop(records, attempt);
  const { body, ...fields } = attempt;
  const computeSince = (at = 0): number => Math.round(at - (stop?.at ?? 0));
  return JSON.stringify({
    ...fields,
    bytes: body.length,
    hasStop: stop !== undefined,
    sentAt: computeSince(attempt.sentAt),
    endedAt: computeSince(attempt.endedAt),
    runs: findRuns(records, attempt).map(({ startedAt, endedAt }) => (
      [computeSince(startedAt), computeSince(endedAt)])),
    exitAt: computeSince(stop?.endedAt),
  });
};

/**
 * Lists each break of a rule; the times of requests are relative to the signal to their entry.
 *
 * @example
 * expect(listFaults(records)).toEqual([]);
 */
export const listFaults = (records: SoakRecords): string[] => [
  ...records.attempts.flatMap((attempt) => Object.entries(attemptChecks)
    .filter(([, isBroken]) => isBroken(records, attempt))
    .map(([name]) => `a request ${name}: ${formatAttempt(records, attempt)}`)),
  ...records.stops.flatMap((stop) => Object.entries(stopChecks)
    .filter(([, isBroken]) => isBroken(stop))
    .map(([name]) => `an entry ${name}: ${JSON.stringify({ ...stop, lines: stop.lines.slice(-5) })}`)),
  ...records.oddities,
];

/** Counts the requests by what came of them, and the stops. */
export const countTotals = (records: SoakRecords): SoakTotals => {
  const found = records.attempts.map((attempt) => classify(records, attempt));
  const counts = Object.keys(outcomes).map((name): [string, number] => (
    [name, found.filter((other) => other === name).length]));
  return { sent: found.length, ...Object.fromEntries(counts), stops: records.stops.length };
};
