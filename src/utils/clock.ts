/** Monotonic time in milliseconds. Leases and deadlines use nothing else. */
export interface Clock {
  readonly now: () => number;
}

/**
 * The machine's monotonic clock, which a change of the wall clock does not move.
 *
 * @example
 * const startedAt = systemClock.now();
 */
export const systemClock: Clock = {
  now: () => performance.now(),
};
