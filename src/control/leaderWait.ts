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
  private readonly held = new HeldCalls();

  /** @param isSettled whether this replica leads or knows who does */
  constructor(private readonly isSettled: () => boolean) {}

  /** Resolves once a leader is known, and after the time also when none is. */
  async wait(mostMs: number): Promise<void> {
    if (!this.isSettled()) await this.held.hold(mostMs);
  }

  /** Lets all go that wait, if a leader is known by now. */
  check(): void {
    if (this.held.size > 0 && this.isSettled()) this.release();
  }

  /** Lets all go that wait. */
  release(): void {
    this.held.release();
  }
}
