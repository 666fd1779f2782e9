import { ImmediateTask } from './immediateTask';

/** Largest number of calls that are resolved in one iteration of the event loop. */
const BATCH_SIZE = 8;

/**
 * Spreads a burst of work over iterations of the event loop, so that timers and incoming messages
 * are handled in between.
 *
 * Without it, a process that answers hundreds of requests at once sends no heartbeats meanwhile,
 * and others consider it failed: the leader would be replaced after each change.
 *
 * @example
 * await queue.wait(); // then do one piece of the work
 */
export class ImmediateQueue {
  private readonly resolvers: (() => void)[] = [];

  private readonly batchTask = new ImmediateTask(() => this.runBatch());

  /** Resolves the calls in order, a limited number in each iteration. */
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
