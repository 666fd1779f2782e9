/**
 * A task that runs once in the next iteration of the event loop, however often it is scheduled.
 *
 * @example
 * const flushTask = new ImmediateTask(() => this.flush());
 * flushTask.schedule();
 * flushTask.schedule(); // flushes once
 */
export class ImmediateTask {
  private isScheduled = false;

  constructor(private readonly run: () => void) {}

  /** Schedules the task for the next iteration. */
  schedule(): void {
    if (this.isScheduled) return;
    this.isScheduled = true;
    setImmediate(() => {
      this.isScheduled = false;
      this.run();
    });
  }
}
