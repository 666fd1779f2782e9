import type { Clock } from '../utils/clock';

/**
 * How long a replica that has begun to lead takes in what others remember, in milliseconds: after
 * that, servers that live have announced themselves, and replicas that are late know less.
 */
const RECALL_MS = 5_000;
/** How long entries wait at most for what others remember, in milliseconds. */
const HOLD_MS = 500;

/**
 * When a replica that leads learns from the others what they remember over a restart.
 *
 * Guards a site whose processes all ended: who leads is decided by the log, and the one that leads
 * may have lost what it remembered beside it. One that has followed a leader since its start knows
 * more than any disk, and takes nothing in.
 *
 * @example
 * if (recall.isOpen) registry.recover(request.rememberedWorkers);
 */
export class RecallWindow {
  private hasFollowed = false;

  private opensAt = -Infinity;

  /** @param isRestart whether this replica has a log from before its start */
  constructor(private readonly clock: Clock, private readonly isRestart: boolean) {}

  /** Whether what others remember is taken in. */
  get isOpen(): boolean {
    return this.clock.now() < this.opensAt + RECALL_MS;
  }

  /** How much longer entries may be held for what others remember, in milliseconds. */
  get holdMs(): number {
    return Math.max(0, this.opensAt + HOLD_MS - this.clock.now());
  }

  /** Notes that this replica took over what a leader knows. */
  noteFollowing(): void {
    this.hasFollowed = true;
  }

  /** Notes that this replica has begun to lead. */
  noteLeading(): void {
    if (this.isRestart && !this.hasFollowed) this.opensAt = this.clock.now();
  }
}
