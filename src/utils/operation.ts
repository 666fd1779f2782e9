import { systemClock } from './clock';
import type { Clock } from './clock';

/** Options of an operation. */
export interface OperationOptions {
  /** Time from now until the deadline, in milliseconds. */
  readonly timeoutMs: number;
  readonly clock?: Clock;
  readonly signal?: AbortSignal;
}

const MAX_STEPS = 32;

/**
 * Passes the deadline, the abort signal and the recorded steps of one piece of work through all
 * layers, so that no layer needs a timer of its own.
 *
 * @example
 * const operation = new Operation({ timeoutMs: 500 });
 * await claim.acquire(operation);
 */
export class Operation {
  readonly deadline: number;

  readonly steps: string[] = [];

  readonly signal: AbortSignal;

  private readonly clock: Clock;

  private readonly startedAt: number;

  private readonly controller = new AbortController();

  constructor(options: OperationOptions) {
    this.clock = options.clock ?? systemClock;
    this.startedAt = this.clock.now();
    this.deadline = this.startedAt + options.timeoutMs;
    this.signal = options.signal
      ? AbortSignal.any([options.signal, this.controller.signal])
      : this.controller.signal;
  }

  /** Time until the deadline, in milliseconds; never negative. */
  get remainingMs(): number {
    return Math.max(0, this.deadline - this.clock.now());
  }

  /** Time since the operation began, in milliseconds. */
  get elapsedMs(): number {
    return this.clock.now() - this.startedAt;
  }

  /**
   * Records a step for the report of a later error; only the first 32 are kept.
   *
   * @example
   * operation.recordStep('asked owner e2');
   */
  recordStep(step: string): void {
    if (this.steps.length < MAX_STEPS) this.steps.push(`${this.elapsedMs.toFixed(1)} ms: ${step}`);
  }

  /**
   * Aborts the operation.
   *
   * @example
   * request.raw.on('close', () => operation.cancel('caller disconnected'));
   */
  cancel(reason: string): void {
    this.recordStep(reason);
    this.controller.abort(new Error(reason));
  }
}
