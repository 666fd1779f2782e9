import type { Clock } from '../utils/clock';
import type { HeldCalls } from '../utils/heldCalls';

/** How often a held question looks for a leader, in milliseconds. */
const LEADER_POLL_MS = 10;

/**
 * Waits for an election that is under way: after all processes were killed, callers wait for just
 * that.
 *
 * @example
 * await leaderWait.wait(600);
 */
export class LeaderWait {
  /**
   * @param held calls that end at once when something changes
   * @param isSettled whether this replica leads or knows who does
   */
  constructor(
    private readonly held: HeldCalls,
    private readonly clock: Clock,
    private readonly isSettled: () => boolean,
  ) {}

  /** Resolves once a leader is known, and after the time also when none is. */
  async wait(mostMs: number): Promise<void> {
    const until = this.clock.now() + mostMs;
    const poll = async (): Promise<void> => {
      if (this.isSettled() || this.clock.now() >= until) return;
      await this.held.hold(LEADER_POLL_MS);
      await poll();
    };
    await poll();
  }
}
