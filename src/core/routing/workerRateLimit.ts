/**
 * The rate limit that a backend server names in its answers: requests per second from all entries
 * together, for as long as its answers name it. No entry can keep it alone, so the leader collects
 * what entries heard, counts the requests that it places, and divides the limit among the entries
 * for those that they send without it.
 */
import type { WorkerRateLimit as RateLimitRecord } from '../../protocol/generated/beechlift';
import { changeRate, takeAllowance, UNLIMITED } from './rateAllowance';
import type { RateAllowance } from './rateAllowance';
import type { RoutedWorker, RoutedWorkers } from './routedWorkers';

/** What an answer of a server said about its limit. */
export interface NamedRate {
  /** Requests per second; 0 if the answer named no limit any more. */
  readonly perSecond: number;
  /** When the answer arrived, monotonic milliseconds. */
  readonly heardAt: number;
}

/** The rate limit of one server, as known to this process. */
export interface WorkerRateLimit {
  /** What the server said last; on an entry, what it said to this entry. */
  readonly named: NamedRate | undefined;
  /** What this process may send under the limit in force. */
  readonly allowance: RateAllowance;
  /** Since when a limit has been known here, monotonic milliseconds. */
  readonly limitedSince: number;
}

/** State of a server that has named no limit. */
export const NO_RATE_LIMIT: WorkerRateLimit = {
  named: undefined, allowance: UNLIMITED, limitedSince: Infinity,
};

/** Bounds on a limit. With less than the lower one, no answer would tell that the limit ended. */
const MIN_PER_SECOND = 0.05;
const MAX_PER_SECOND = 1_000_000;
/**
 * How long an entry reports what a server said, in milliseconds. The same for a limit and for its
 * end, so that a new leader never hears of a limit without its end.
 */
const NAMED_RETENTION_MS = 120_000;
/** Change of a limit, as a share of it, that the leader is told at once. */
const URGENT_CHANGE_SHARE = 0.2;
/**
 * Share of an engine's limit for requests that entries send while they do not reach the leader. The
 * leader goes on placing requests of other entries at the full rate.
 */
const UNPLACED_SHARE = 0.4;

/** Whether a limit of a server is in force here. */
export const isRateLimited = ({ rateLimit }: RoutedWorker): boolean => (
  rateLimit.allowance.perSecond !== Infinity);

const setRate = (
  worker: RoutedWorker,
  perSecond: number,
  firstTokens: number,
  now: number,
): void => {
  const { allowance, limitedSince } = worker.rateLimit;
  worker.rateLimit = {
    ...worker.rateLimit,
    allowance: changeRate(allowance, perSecond, firstTokens, now),
    limitedSince: isRateLimited(worker) ? limitedSince : now,
  };
};

/** How the entries divide a limit. */
export interface RateSharing {
  readonly entryCount: number;
  /** Whether the leader places the requests of a service. */
  readonly isPlaced: (service: string) => boolean;
  /** Different for each entry, from 0 to 1, so that entries with small shares send in turn. */
  readonly phase: number;
}

const setShare = (
  worker: RoutedWorker,
  perSecond: number,
  { entryCount, isPlaced, phase }: RateSharing,
  now: number,
): void => {
  const share = (isPlaced(worker.service) ? UNPLACED_SHARE : 1) / Math.max(1, entryCount);
  setRate(worker, perSecond > 0 ? perSecond * share : Infinity, phase, now);
};

const isUrgent = (named: NamedRate | undefined, perSecond: number): boolean => {
  const previous = named?.perSecond ?? 0;
  return Math.abs(perSecond - previous) > URGENT_CHANGE_SHARE * previous;
};

/**
 * Records on an entry what an answer of a server said. An answer without a limit ends a known one
 * only if its request was sent after the limit was known here: earlier answers may still arrive.
 *
 * @param perSecond requests per second; 0 if the answer names none
 * @param sentAt when the request was sent, monotonic milliseconds
 * @returns whether the leader must be told at once
 * @example
 * if (recordNamedRate(worker, 1.4, sentAt, sharing, clock.now())) reportState();
 */
export const recordNamedRate = (
  worker: RoutedWorker,
  perSecond: number,
  sentAt: number,
  sharing: RateSharing,
  now: number,
): boolean => {
  const { named, limitedSince } = worker.rateLimit;
  const isKnown = isRateLimited(worker);
  if (perSecond <= 0 && (!isKnown || sentAt <= limitedSince)) return false;
  const bounded = perSecond <= 0
    ? 0
    : Math.min(MAX_PER_SECOND, Math.max(MIN_PER_SECOND, perSecond));
  worker.rateLimit = { ...worker.rateLimit, named: { perSecond: bounded, heardAt: now } };
  setShare(worker, bounded, sharing, now);
  return isUrgent(named, bounded) || !isKnown;
};

/**
 * Lists what servers said to this entry, for the leader. Complete in each request, so that a new
 * leader knows all limits as soon as the entries have found it.
 *
 * @example
 * request.limits = listNamedRates(workers, clock.now());
 */
export const listNamedRates = ({ byId }: RoutedWorkers, now: number): RateLimitRecord[] => (
  [...byId.values()].flatMap(({ id, born, rateLimit: { named } }) => {
    if (!named || now - named.heardAt > NAMED_RETENTION_MS) return [];
    const { perSecond, heardAt } = named;
    return [{
      workerId: id, born, perSecond, ageMs: Math.round(now - heardAt),
    }];
  }));

/**
 * Applies on the leader what servers said to an entry. Of several reports, the one on the latest
 * answer counts.
 *
 * @example
 * applyNamedRates(workers, request.limits, clock.now());
 */
export const applyNamedRates = (
  { byId }: RoutedWorkers,
  records: readonly RateLimitRecord[],
  now: number,
): void => records.forEach(({
  workerId, born, perSecond, ageMs,
}) => {
  const worker = byId.get(workerId);
  const heardAt = now - ageMs;
  if (worker?.born !== born || heardAt <= (worker.rateLimit.named?.heardAt ?? -Infinity)) return;
  worker.rateLimit = { ...worker.rateLimit, named: { perSecond, heardAt } };
  setRate(worker, perSecond > 0 ? perSecond : Infinity, 0, now);
});

/** Lists the limits in force on the leader, for the entries. */
export const listRateLimits = ({ byId }: RoutedWorkers): RateLimitRecord[] => (
  [...byId.values()]
    .filter(isRateLimited)
    .map(({ id, born, rateLimit: { allowance: { perSecond } } }) => (
      {
        workerId: id, born, perSecond, ageMs: 0,
      })));

/**
 * Applies on an entry the limits that are in force on the leader. What a server said to this entry
 * after it sent the request counts more: the leader did not know it yet.
 *
 * @param sentAt when the watch request was sent, monotonic milliseconds
 * @example
 * applyRateLimits(workers, reply.limits, sentAt, sharing, clock.now());
 */
export const applyRateLimits = (
  { byId }: RoutedWorkers,
  records: readonly RateLimitRecord[],
  sentAt: number,
  sharing: RateSharing,
  now: number,
): void => {
  const limits = new Map(records.map((record) => [record.workerId, record]));
  byId.forEach((worker) => {
    const { named } = worker.rateLimit;
    const record = limits.get(worker.id);
    const perSecond = record?.born === worker.born ? record.perSecond : 0;
    const isUnchanged = perSecond === 0 && !isRateLimited(worker);
    if (isUnchanged || (named && named.heardAt >= sentAt)) return;
    setShare(worker, perSecond, sharing, now);
  });
};

/** Counts a request that this process sends to a server, or places there. */
export const takeWorkerAllowance = (worker: RoutedWorker, now: number): void => {
  const { allowance } = worker.rateLimit;
  worker.rateLimit = { ...worker.rateLimit, allowance: takeAllowance(allowance, now) };
};
