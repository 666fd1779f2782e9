import type { Logger } from '../telemetry/logger';
import type { Clock } from '../utils/clock';
import type { LogRunner } from './logRunner';

/**
 * Logs when this replica gains and loses the leader lease. While it has lost the lease, entries get
 * no answer that renews theirs, although the replica still leads the log.
 *
 * @example
 * leaseLog.record(); // at each tick
 */
export class LeaseLog {
  private wasHeld = false;

  private changedAt: number;

  constructor(
    private readonly runner: Pick<LogRunner<true>, 'holdsLease' | 'state'>,
    private readonly parts: { readonly clock: Clock; readonly logger: Logger },
  ) {
    this.changedAt = parts.clock.now();
  }

  /** Logs a change since the last call. */
  record(): void {
    const { holdsLease, state: { role, term, commitIndex } } = this.runner;
    if (holdsLease === this.wasHeld) return;
    const now = this.parts.clock.now();
    this.wasHeld = holdsLease;
    this.parts.logger.info(holdsLease ? 'leader lease gained' : 'leader lease lost', {
      role, term, commitIndex, afterMs: Math.round(now - this.changedAt),
    });
    this.changedAt = now;
  }
}
