/**
 * The backoff that a backend server requested from an entry. Unlike a suspension, it ends only at
 * the time that the server named, and no answer to another request ends it sooner.
 */

/** A backoff period, and the probes sent to the server during it. */
export interface WorkerBackoff {
  /** Start and end of the period, monotonic milliseconds. */
  readonly startedAt: number;
  readonly until: number;
  /** Requests sent to the server since the period began. */
  readonly probeCount: number;
}

/** Backoff of a server that has not requested one. */
export const NO_BACKOFF: WorkerBackoff = { startedAt: -Infinity, until: -Infinity, probeCount: 0 };

/** Longest accepted backoff, so that a faulty server cannot exclude itself for good. */
const MAX_BACKOFF_MS = 300_000;
/** Most requests sent to a server that is backing off, when its service has no other one. */
const MAX_PROBES = 2;

/** Shortest time over which the retries of refused callers are spread, in milliseconds. */
const MIN_SPREAD_MS = 250;
/** Share of the backoff over which they are spread, when that is longer. */
const SPREAD_SHARE = 0.25;
/** Longest delay before a retry that a caller is given: a new server may start meanwhile. */
const MAX_RETRY_MS = 10_000;

/**
 * Whether a server has requested that no requests be sent at the moment.
 *
 * @example
 * if (!isBackingOff(worker.backoff, clock.now())) send(worker);
 */
export const isBackingOff = ({ until }: WorkerBackoff, now: number): boolean => now < until;

/**
 * Applies a backoff request of a server. The period counts from the receipt of the request, which
 * is later than its sending. A shorter period does not end a longer one sooner. A request during a
 * backoff extends it and keeps its probe count, so no part of it gets more probes than one period
 * allows.
 *
 * @example
 * worker.backoff = extendBackoff(worker.backoff, 3_000, clock.now());
 */
export const extendBackoff = (
  backoff: WorkerBackoff,
  durationMs: number,
  now: number,
): WorkerBackoff => {
  if (!(durationMs > 0)) return backoff;
  const until = now + Math.min(MAX_BACKOFF_MS, durationMs);
  if (!isBackingOff(backoff, now)) return { startedAt: now, until, probeCount: 0 };
  return { ...backoff, until: Math.max(backoff.until, until) };
};

/**
 * Whether a server that is backing off may get a probe request, when no other server is left. Two
 * probes are allowed, evenly spaced: a server that rejects only a part of its requests would serve
 * most of them.
 *
 * @example
 * if (mayProbe(worker.backoff, clock.now())) worker.backoff = countProbe(worker.backoff);
 */
export const mayProbe = (
  { startedAt, until, probeCount }: WorkerBackoff,
  now: number,
): boolean => {
  const dueAt = startedAt + ((probeCount + 1) / (MAX_PROBES + 1)) * (until - startedAt);
  return probeCount < MAX_PROBES && now >= dueAt && now < until;
};

/** Counts a request that is sent to a server during its backoff. */
export const countProbe = (backoff: WorkerBackoff): WorkerBackoff => (
  { ...backoff, probeCount: backoff.probeCount + 1 }
);

/**
 * Computes when a refused caller may retry: after the shortest backoff, spread over some time so
 * that callers do not all return at once.
 *
 * @param share position of this caller within the spread, from 0 to 1
 * @example
 * computeBackoffRetryAfterMs(2_000, Math.random()); // 2000 to 2500
 */
export const computeBackoffRetryAfterMs = (backoffMs: number, share: number): number => (
  Math.min(MAX_RETRY_MS, backoffMs) + share * Math.max(MIN_SPREAD_MS, SPREAD_SHARE * backoffMs)
);
