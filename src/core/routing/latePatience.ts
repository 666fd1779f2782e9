/**
 * Longest wait in target latencies: callers that see nothing for about four of them give up, and
 * the answer has still to begin after the wait.
 */
const LATE_WAIT_IN_TARGETS = 2.4;
/** Longest wait as a part of the time left, so that a refused caller can still try elsewhere. */
const LATE_WAIT_PART = 0.3;

/**
 * How long a request may wait that can no longer be on time, in milliseconds. Refused, it would
 * come back later still, or not at all.
 *
 * @example
 * computeLatePatienceMs(500, 10_000); // 1,200
 */
export const computeLatePatienceMs = (targetMs: number, remainingMs: number): number => (
  Math.min(LATE_WAIT_IN_TARGETS * targetMs, LATE_WAIT_PART * remainingMs)
);
