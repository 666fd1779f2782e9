import type { Clock } from '../utils/clock';

/**
 * How long a replica that has begun to lead takes in what others remember, in milliseconds: after
 * that, servers that live have announced themselves, and replicas that are late know less.
 */
const RECALL_MS = 5_000;
/** How long a leader is told what was remembered over a restart, in milliseconds. */
const TELL_MS = 1_000;
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
export class RecallWindow {
  private followsSince: number | undefined;

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

  /** Whether a leader is told what this replica remembers. */
  get isTelling(): boolean {
    const { followsSince } = this;
    return followsSince === undefined || this.clock.now() - followsSince <= TELL_MS;
  }

  /** Notes that this replica took over what a leader knows. */
  noteFollowing(): void {
    this.followsSince ??= this.clock.now();
  }

  /** Notes that this replica has begun to lead. */
  noteLeading(): void {
    const isForgetful = this.isRestart && this.followsSince === undefined;
    if (isForgetful) this.opensAt = this.clock.now();
  }
}
