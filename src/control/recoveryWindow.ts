import type { Clock } from '../utils/clock';

/**
 * How long a new leader accepts records that other replicas cached, in milliseconds. Later, all
 * running servers have announced themselves, and cached records would only be older.
 */
const RECOVERY_MS = 5_000;
/** How long a replica reports its cached records to the leader after a restart, in milliseconds. */
const REPORT_MS = 1_000;
/** Longest time that entries wait for cached records of other replicas, in milliseconds. */
const HOLD_MS = 500;

/**
 * Times in which a new leader accepts the records that other replicas cached across a restart, and
 * in which a follower reports its own.
 *
 * After all processes of a site ended, the log decides which replica leads, and that replica may
 * have lost its cache. A replica that has followed a leader since its start has newer records than
 * any cache, and accepts none.
 *
 * @example
 * if (recoveryWindow.isOpen) registry.recover(request.rememberedWorkers);
 */
export class RecoveryWindow {
  private followingSince: number | undefined;

  private opensAt = -Infinity;

  /** @param isRestart whether the replica already had a log when its process started */
  constructor(private readonly clock: Clock, private readonly isRestart: boolean) {}

  /** Whether cached records of other replicas are accepted. */
  get isOpen(): boolean {
    return this.clock.now() < this.opensAt + RECOVERY_MS;
  }

  /** How much longer watch requests may be held for cached records, in milliseconds. */
  get holdMs(): number {
    return Math.max(0, this.opensAt + HOLD_MS - this.clock.now());
  }

  /** Whether this replica reports its cached records to the leader. */
  get isReporting(): boolean {
    const { followingSince } = this;
    return followingSince === undefined || this.clock.now() - followingSince <= REPORT_MS;
  }

  /** Records that this replica has applied the state of a leader. */
  markFollowing(): void {
    this.followingSince ??= this.clock.now();
  }

  /** Records that this replica has become the leader. */
  markLeading(): void {
    const mayLackRecords = this.isRestart && this.followingSince === undefined;
    if (mayLackRecords) this.opensAt = this.clock.now();
  }
}
