import { TurnTask } from './turnTask';

/** Pieces of work that are done in one turn of the loop, at most. */
const PORTION = 8;

/**
 * Spreads work that comes all at once over turns of the loop, so that timers and what comes from
 * other processes are served in between.
 *
 * Guards a process that others take for dead when it is silent: one that answers hundreds at once
 * sends no heartbeat until it is through. It shows as a leader that is replaced with each change.
 *
 * @example
 * await turns.wait(); // then do one piece of the work
 */
export class LoopTurns {
  private readonly waiting: (() => void)[] = [];

  private readonly next = new TurnTask(() => this.run());

  /** Resolves when it is the caller's turn, in the order of the calls. */
  wait(): Promise<void> {
    return new Promise((resolve) => {
      this.waiting.push(resolve);
      this.next.schedule();
    });
  }

  private run(): void {
    this.waiting.splice(0, PORTION).forEach((resolve) => resolve());
    if (this.waiting.length > 0) this.next.schedule();
  }
}
