/**
 * The rest that a backend server asked an entry for. It is no suspicion: it ends when the server
 * said, and no answer to another request ends it sooner.
 */

/** A rest, and what was sent to the server in it. */
export interface WorkerBackoff {
  /** When it began and when it is over, monotonic milliseconds. */
  readonly startedAt: number;
  readonly until: number;
  /** Requests that were sent there since it began. */
  readonly probeCount: number;
}

/** The rest of a server that never asked for one. */
export const NO_BACKOFF: WorkerBackoff = { startedAt: -Infinity, until: -Infinity, probeCount: 0 };

/** Longest rest that is believed, so that a faulty server is not left alone for good. */
const MAX_BACKOFF_MS = 300_000;
/** Requests that a server gets in its rest at most, where its service has no other one left. */
const MAX_PROBES = 2;

/** Shortest time over which callers that were refused together come back, in milliseconds. */
const MIN_SPREAD_MS = 250;
/** Part of a rest over which they come back, where that is longer. */
const SPREAD_SHARE = 0.25;
/** Longest time that a caller is told: a server may start meanwhile. */
const MAX_RETRY_MS = 10_000;

/**
 * Whether a server wants no requests at the moment.
 *
 * @example
 * if (!isResting(worker.rest, clock.now())) send(worker);
 */
export const isBackingOff = ({ until }: WorkerBackoff, now: number): boolean => now < until;

/**
 * Takes in that a server asked for rest. It counts from when that was heard, which is later than
 * when it was said. A shorter one does not end a longer one sooner, and one that is asked for
 * within another goes on with its probes, so that no part of them gets more than one rest may.
 *
 * @example
 * worker.rest = noteRest(worker.rest, 3_000, clock.now());
 */
export const extendBackoff = (rest: WorkerBackoff, restMs: number, now: number): WorkerBackoff => {
  if (!(restMs > 0)) return rest;
  const until = now + Math.min(MAX_BACKOFF_MS, restMs);
  if (!isBackingOff(rest, now)) return { startedAt: now, until, probeCount: 0 };
  return { ...rest, until: Math.max(rest.until, until) };
};

/**
 * Whether a server that rests may be asked all the same, where no other one is left: twice, at even
 * distances, as one that turns away a part of its requests would serve most of these.
 *
 * @example
 * if (mayProbe(worker.rest, clock.now())) worker.rest = addProbe(worker.rest);
 */
export const mayProbe = ({ startedAt: from, until, probeCount: probes }: WorkerBackoff, now: number): boolean => {
  const dueAt = from + ((probes + 1) / (MAX_PROBES + 1)) * (until - from);
  return probes < MAX_PROBES && now >= dueAt && now < until;
};

/** Counts a request that is sent to a server in its rest. */
export const countProbe = (rest: WorkerBackoff): WorkerBackoff => ({ ...rest, probeCount: rest.probeCount + 1 });

/**
 * Tells a refused caller when to come back: when the shortest rest is over, and not all at once.
 *
 * @param share where this caller comes among the others, from 0 to 1
 * @example
 * computeRestRetryMs(2_000, Math.random()); // 2000 to 2500
 */
export const computeRetryAfterMs = (restMs: number, share: number): number => (
  Math.min(MAX_RETRY_MS, restMs) + share * Math.max(MIN_SPREAD_MS, SPREAD_SHARE * restMs)
);
