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

/** Start of this process by the system clock, which counts from `performance.timeOrigin`. */
export const PROCESS_START = 0;

/** Largest drift between the clocks of one machine that is no sign of a suspension. */
const MAX_CLOCK_DRIFT_MS = 100;

/**
 * Tells whether the machine may have been suspended.
 *
 * Guards leases: while a VM is suspended its monotonic clock stands still, so a lease that ended
 * long ago looks valid when it wakes. The time of day goes on, so the difference of the two clocks
 * jumps. A time of day that was merely set looks the same; it costs one renewal of each lease.
 *
 * @example
 * const epoch = suspension.readEpoch(); // before asking for a lease
 * const isValid = clock.now() < until && suspension.readEpoch() === epoch;
 */
export class SuspensionDetector {
  private epoch = 0;

  private offset: number;

  constructor(
    private readonly clock: Clock = systemClock,
    // eslint-disable-next-line no-restricted-globals -- compared with the monotonic clock alone
    private readonly readTimeOfDay: () => number = Date.now,
  ) {
    this.offset = this.measureOffset();
  }

  /** A number that grows each time the machine may have been suspended. */
  readEpoch(): number {
    const offset = this.measureOffset();
    if (Math.abs(offset - this.offset) > MAX_CLOCK_DRIFT_MS) this.epoch += 1;
    this.offset = offset;
    return this.epoch;
  }

  private measureOffset(): number {
    return this.readTimeOfDay() - this.clock.now();
  }
}
