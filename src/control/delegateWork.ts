import type { Logger } from '../telemetry/logger';
import type { Clock } from '../utils/clock';

/** Interval of the log lines, in milliseconds. */
const LOG_INTERVAL_MS = 5_000;

/**
 * - `decided`: slot requests that were granted, queued or refused for want of a slot.
 * - `limited`: refused as their account is over its limit.
 * - `passedOn`: left to the leader.
 * - `undecided`: left to their entries, as neither decides in time.
 */
export type DelegateDecision = 'decided' | 'limited' | 'passedOn' | 'undecided';

const NOTHING: Readonly<Record<DelegateDecision, number>> = {
  decided: 0, limited: 0, passedOn: 0, undecided: 0,
};

/**
 * Counts and logs what a delegate does with slot requests. Many that are passed on or undecided
 * show that it lacks servers or grants, or that the leader is late.
 *
 * @example
 * work.count('passedOn', 3);
 * work.log({ servers: 16, waiting: 2, placed: 40 });
 */
export class DelegateWork {
  private counts = { ...NOTHING };

  private loggedAt: number;

  constructor(private readonly clock: Clock, private readonly logger: Logger) {
    this.loggedAt = clock.now();
  }

  /** Counts slot requests. */
  count(decision: DelegateDecision, requests = 1): void {
    this.counts[decision] += requests;
  }

  /** Logs the counts with the given state, if there are any and the interval is over. */
  log(state: Readonly<Record<'servers' | 'waiting' | 'placed', number>>): void {
    const now = this.clock.now();
    const elapsedMs = Math.round(now - this.loggedAt);
    if (elapsedMs < LOG_INTERVAL_MS) return;
    const hasWork = Object.values(this.counts).some((count) => count > 0);
    if (hasWork) this.logger.info('work of a delegate', { ...this.counts, ...state, elapsedMs });
    this.counts = { ...NOTHING };
    this.loggedAt = now;
  }
}
