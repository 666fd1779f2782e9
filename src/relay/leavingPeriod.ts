import type { Clock } from '../utils/clock';

/** Share of the time in which callers may use an old address after which hardly any still does. */
const MOST_LOCATED_SHARE = 0.8;

/**
 * The time in which an entry shuts down. All times are monotonic milliseconds.
 *
 * @example
 * const period = new LeavingPeriod(clock);
 * period.begin(now + 7_200, now + 3_200);
 */
export class LeavingPeriod {
  private endsAt = Infinity;

  private startedAt = 0;

  private locatedUntil = 0;

  constructor(private readonly clock: Clock) {}

  /** Whether it has begun. */
  get hasBegun(): boolean {
    return this.endsAt !== Infinity;
  }

  /** Time that remains for answers; Infinity before it has begun. */
  get remainingMs(): number {
    return this.endsAt - this.clock.now();
  }

  /** How much of the time has passed in which callers may still use an old address, 0 to 1. */
  get locatedShare(): number {
    const locatedMs = Math.max(1, this.locatedUntil - this.startedAt);
    return Math.min(1, (this.clock.now() - this.startedAt) / locatedMs);
  }

  /** Whether callers may not know another entry yet, so that an answer may be begun at a risk. */
  get mayTakeRisks(): boolean {
    return this.locatedShare < MOST_LOCATED_SHARE;
  }

  /**
   * Begins it.
   *
   * @param endsAt when the last answer must have ended
   * @param locatedUntil when callers no longer use an address that they looked up before
   */
  begin(endsAt: number, locatedUntil: number): void {
    this.endsAt = endsAt;
    this.startedAt = this.clock.now();
    this.locatedUntil = locatedUntil;
  }
}
