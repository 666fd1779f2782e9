import { HeldCalls } from '../utils/heldCalls';

/**
 * Waits for an election in progress, for example after all processes were killed.
 *
 * The replica checks for a leader only when something may have changed, and once for all calls that
 * wait. Otherwise the checks would take CPU time from the election itself.
 *
 * @example
 * await leaderWait.wait(600); // until `leaderWait.check()` finds a leader, 600 ms at most
 */
export class LeaderWait {
  private readonly heldCalls = new HeldCalls();

  /** @param isLeaderKnown returns whether this replica leads or knows the leader */
  constructor(private readonly isLeaderKnown: () => boolean) {}

  /** Resolves once a leader is known, or after `maxMs` if none is. */
  async wait(maxMs: number): Promise<void> {
    if (!this.isLeaderKnown()) await this.heldCalls.hold(maxMs);
  }

  /** Releases all waiting calls if a leader is known by now. */
  check(): void {
    if (this.heldCalls.size > 0 && this.isLeaderKnown()) this.release();
  }

  /** Releases all waiting calls. */
  release(): void {
    this.heldCalls.release();
  }
}
