/**
 * Work that is done once in the next turn of the loop, however often it is asked for until then.
 *
 * @example
 * const flushing = new TurnTask(() => this.flush());
 * flushing.schedule();
 * flushing.schedule(); // flushes once
 */
export class ImmediateTask {
  private isScheduled = false;

  constructor(private readonly run: () => void) {}

  /** Has the work done in the next turn. */
  schedule(): void {
    if (this.isScheduled) return;
    this.isScheduled = true;
    setImmediate(() => {
      this.isScheduled = false;
      this.run();
    });
  }
}
