/** Monotonic time in milliseconds, the only time used for leases and deadlines. */
export interface Clock {
  readonly now: () => number;
}

/**
 * The monotonic clock of the machine; changes of the wall clock do not affect it.
 *
 * @example
 * const startedAt = systemClock.now();
 */
export const systemClock: Clock = {
  now: () => performance.now(),
};

/** Start of this process on `systemClock`, which counts from `performance.timeOrigin`. */
export const PROCESS_START = 0;

/** Largest change of the offset between the two clocks that does not count as a suspension. */
const MAX_CLOCK_DRIFT_MS = 100;

/**
 * Detects that the machine may have been suspended.
 *
 * The monotonic clock of a VM stops during a suspension, so a lease that expired long ago looks
 * valid when the VM resumes. The wall clock continues, so the offset between the two clocks
 * jumps. Setting the wall clock has the same effect, which costs one renewal of each lease.
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
    // eslint-disable-next-line no-restricted-globals -- compared only with the monotonic clock
    private readonly readTimeOfDay: () => number = Date.now,
  ) {
    this.offset = this.measureOffset();
  }

  /** Returns a number that increases each time the machine may have been suspended. */
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
