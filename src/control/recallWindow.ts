import type { Clock } from '../utils/clock';

/** How long a replica that has begun to lead takes in what others remember, in milliseconds. */
const RECALL_MS = 500;

/**
 * When a replica that leads learns from the others what they remember over a restart.
 *
 * Guards a site whose processes all ended: who leads is decided by the log, and the one that leads
 * may have lost what it remembered beside it. One that has followed a leader since its start knows
 * more than any disk, and takes nothing in.
 *
 * @example
 * if (recall.leftMs > 0) registry.recover(request.rememberedWorkers);
 */
export class RecallWindow {
  private hasFollowed = false;

  private endsAt = -Infinity;

  /** @param isRestart whether this replica has a log from before its start */
  constructor(private readonly clock: Clock, private readonly isRestart: boolean) {}

  /** Milliseconds for which it is still open; 0 when it is closed. */
  get leftMs(): number {
    return Math.max(0, this.endsAt - this.clock.now());
  }

  /** Notes that this replica took over what a leader knows. */
  noteFollowing(): void {
    this.hasFollowed = true;
  }

  /** Notes that this replica has begun to lead. */
  noteLeading(): void {
    if (this.isRestart && !this.hasFollowed) this.endsAt = this.clock.now() + RECALL_MS;
  }
}
