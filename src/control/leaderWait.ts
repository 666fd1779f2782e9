import { HeldCalls } from '../utils/heldCalls';

/**
 * Waits for an election that is under way: after all processes were killed, callers wait for just
 * that.
 *
 * Guards the election against those who wait for it: however many they are, the replica looks once
 * for all of them, when something may have changed.
 *
 * @example
 * await leaderWait.wait(600); // until `leaderWait.check()` finds a leader, 600 ms at most
 */
export class LeaderWait {
  private readonly heldCalls = new HeldCalls();

  /** @param isLeaderKnown whether this replica leads or knows who does */
  constructor(private readonly isLeaderKnown: () => boolean) {}

  /** Resolves once a leader is known, and after the time also when none is. */
  async wait(maxMs: number): Promise<void> {
    if (!this.isLeaderKnown()) await this.heldCalls.hold(maxMs);
  }

  /** Lets all go that wait, if a leader is known by now. */
  check(): void {
    if (this.heldCalls.size > 0 && this.isLeaderKnown()) this.release();
  }

  /** Lets all go that wait. */
  release(): void {
    this.heldCalls.release();
  }
}
