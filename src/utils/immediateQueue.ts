import { ImmediateTask } from './immediateTask';

/** Pieces of work that are done in one turn of the loop, at most. */
const BATCH_SIZE = 8;

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
export class ImmediateQueue {
  private readonly resolvers: (() => void)[] = [];

  private readonly batchTask = new ImmediateTask(() => this.runBatch());

  /** Resolves when it is the caller's turn, in the order of the calls. */
  wait(): Promise<void> {
    return new Promise((resolve) => {
      this.resolvers.push(resolve);
      this.batchTask.schedule();
    });
  }

  private runBatch(): void {
    this.resolvers.splice(0, BATCH_SIZE).forEach((resolve) => resolve());
    if (this.resolvers.length > 0) this.batchTask.schedule();
  }
}
