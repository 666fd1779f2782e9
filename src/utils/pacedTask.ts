import type { Clock } from './clock';
import { ImmediateTask } from './immediateTask';

/**
 * A task that runs soon after it was scheduled, but not within a gap after its last run, however
 * often it is scheduled.
 *
 * @example
 * const flushTask = new PacedTask(() => this.flush(), 10, systemClock);
 * flushTask.schedule();
 */
export class PacedTask {
  private ranAt = -Infinity;

  private timer: NodeJS.Timeout | undefined;

  private readonly task: ImmediateTask;

  /** @param gapMs shortest time between two runs, in milliseconds */
  constructor(run: () => void, private readonly gapMs: number, private readonly clock: Clock) {
    this.task = new ImmediateTask(() => {
      this.ranAt = clock.now();
      run();
    });
  }

  /** Schedules the task: for the next iteration of the event loop, or for the end of the gap. */
  schedule(): void {
    if (this.timer) return;
    const waitMs = this.ranAt + this.gapMs - this.clock.now();
    if (waitMs <= 0) {
      this.task.schedule();
      return;
    }
    this.timer = setTimeout(() => {
      this.timer = undefined;
      this.task.schedule();
    }, waitMs);
  }
}
