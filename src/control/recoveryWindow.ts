import type { Clock } from '../utils/clock';

/**
 * How long a replica that has begun to lead takes in what others remember, in milliseconds: after
 * that, servers that live have announced themselves, and replicas that are late know less.
 */
const RECOVERY_MS = 5_000;
/** How long a leader is told what was remembered over a restart, in milliseconds. */
const REPORT_MS = 1_000;
/** How long entries wait at most for what others remember, in milliseconds. */
const HOLD_MS = 500;

/**
 * When a replica that leads learns from the others what they remember over a restart, and when one
 * that follows tells it.
 *
 * Guards a site whose processes all ended: who leads is decided by the log, and the one that leads
 * may have lost what it remembered beside it. One that has followed a leader since its start knows
 * more than any disk, and takes nothing in.
 *
 * @example
 * if (recall.isOpen) registry.recover(request.rememberedWorkers);
 */
export class RecoveryWindow {
  private followingSince: number | undefined;

  private opensAt = -Infinity;

  /** @param isRestart whether this replica has a log from before its start */
  constructor(private readonly clock: Clock, private readonly isRestart: boolean) {}

  /** Whether what others remember is taken in. */
  get isOpen(): boolean {
    return this.clock.now() < this.opensAt + RECOVERY_MS;
  }

  /** How much longer entries may be held for what others remember, in milliseconds. */
  get holdMs(): number {
    return Math.max(0, this.opensAt + HOLD_MS - this.clock.now());
  }

  /** Whether a leader is told what this replica remembers. */
  get isReporting(): boolean {
    const { followingSince: followingSince } = this;
    return followingSince === undefined || this.clock.now() - followingSince <= REPORT_MS;
  }

  /** Notes that this replica took over what a leader knows. */
  markFollowing(): void {
    this.followingSince ??= this.clock.now();
  }

  /** Notes that this replica has begun to lead. */
  markLeading(): void {
    const mayLackRecords = this.isRestart && this.followingSince === undefined;
    if (mayLackRecords) this.opensAt = this.clock.now();
  }
}
