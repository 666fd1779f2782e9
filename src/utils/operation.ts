import { systemClock } from './clock';
import type { Clock } from './clock';

/** What an operation starts from. */
export interface OperationOptions {
  /** Milliseconds from now until the operation must have ended. */
  readonly timeoutMs: number;
  readonly clock?: Clock;
  readonly signal?: AbortSignal;
}

const MAX_STEPS = 32;

/**
 * Carries the deadline, the abort signal and the steps of one piece of work through all layers,
 * so that no layer starts a timer of its own.
 *
 * @example
 * const operation = new Operation({ timeoutMs: 500 });
 * await client.ask(request, operation);
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

  /** Milliseconds until the deadline, never below zero. */
  get remainingMs(): number {
    return Math.max(0, this.deadline - this.clock.now());
  }

  /** Milliseconds since the operation began. */
  get elapsedMs(): number {
    return this.clock.now() - this.startedAt;
  }

  /**
   * Notes a step for the error that may follow; only the first 32 are kept.
   *
   * @example
   * operation.note('asked owner e2');
   */
  recordStep(step: string): void {
    if (this.steps.length < MAX_STEPS) this.steps.push(`${this.elapsedMs.toFixed(1)} ms: ${step}`);
  }

  /**
   * Ends the operation early.
   *
   * @example
   * request.raw.on('close', () => operation.cancel('caller gone'));
   */
  cancel(reason: string): void {
    this.recordStep(reason);
    this.controller.abort(new Error(reason));
  }
}
