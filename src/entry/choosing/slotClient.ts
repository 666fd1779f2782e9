import type { Context } from '@opentelemetry/api';
import type { AskReply } from '../../protocol/generated/beechlift';
import { makeErrorFromNumber } from '../../errors/beechliftError';
import type { HopTracer } from '../../telemetry/tracing';
import type { Operation } from '../../utils/operation';
import type { ActiveTable } from '../callers/activeTable';
import type { CallerRequest } from '../callers/callerRequest';
import type { Scheduler } from './scheduler';

/** How a granted request ended. */
export type SlotOutcome = 'complete' | 'failed' | 'cancelled' | 'unreachable';

/** Measured times and output of a request. */
export interface SlotTimes {
  readonly firstTokenMs: number;
  readonly totalMs: number;
  readonly outputTokens: number;
}

const NO_TIMES: SlotTimes = { firstTokenMs: 0, totalMs: 0, outputTokens: 0 };

/**
 * Acquires slots from the owner of a pool and reports to it how they are used.
 *
 * @example
 * const grant = await slots.acquire(request, operation, context);
 * slots.release(request, 'complete', times);
 */
export class SlotClient {
  constructor(
    private readonly id: string,
    private readonly zone: string,
    private readonly scheduler: Scheduler,
    private readonly active: ActiveTable,
    private readonly tracer: HopTracer,
    private readonly readViewNumber: () => number,
  ) {}

  /**
   * Waits for a slot; throws the refusal when the request gets none.
   *
   * A grant and the cancellation of its slot request can cross on the network. The owner has then
   * granted a slot that no entry uses, so a cancelled slot request also reports the slot as unused.
   */
  async acquire(request: CallerRequest, operation: Operation, parent: Context): Promise<AskReply> {
    const { span, childContext } = this.tracer.startHop(
      'owner',
      parent,
      { pool: request.pool, tier: request.tier },
    );
    try {
      const reply = await this.scheduler.ask(
        this.buildAsk(request, operation),
        operation,
        this.tracer.formatHeaders(childContext),
      );
      if (reply.code !== 0) {
        throw makeErrorFromNumber(reply.code, reply.message, { retryAfterMs: reply.retryAfterMs });
      }
      span.setAttribute('worker', reply.workerId);
      this.active.markRunning(request, reply.workerId);
      return reply;
    } catch (error) {
      if (operation.signal.aborted) this.releaseUnused(request);
      throw error;
    } finally {
      span.end();
    }
  }

  /** Reports the first token of the answer. */
  reportFirstToken(request: CallerRequest): void {
    this.report(request, 'started', 'complete', NO_TIMES);
  }

  /** Releases the slot of a request that ended. */
  release(request: CallerRequest, outcome: SlotOutcome, times: SlotTimes = NO_TIMES): void {
    this.active.unmarkRunning(request.id);
    this.report(request, 'finished', outcome, times);
  }

  /** Releases a slot that was never used. */
  releaseUnused(request: CallerRequest): void {
    this.active.unmarkRunning(request.id);
    this.report(request, 'dropped', 'cancelled', NO_TIMES);
  }

  private buildAsk(request: CallerRequest, operation: Operation) {
    return {
      requestId: request.id,
      entryId: this.id,
      pool: request.pool,
      target: request.target,
      tier: request.tier,
      account: request.account,
      promptTokens: request.promptTokens,
      maxTokens: request.maxTokens,
      deadlineMs: Math.max(1, Math.floor(request.deadlineMs - operation.elapsedMs)),
      prefixes: [...request.prefixes],
      zone: this.zone,
      viewNumber: this.readViewNumber(),
    };
  }

  private report(
    request: CallerRequest,
    phase: 'started' | 'finished' | 'dropped',
    outcome: SlotOutcome,
    times: SlotTimes,
  ): void {
    this.scheduler.report({
      requestId: request.id,
      entryId: this.id,
      pool: request.pool,
      phase,
      outcome,
      firstTokenMs: Math.round(times.firstTokenMs),
      totalMs: Math.round(times.totalMs),
      outputTokens: times.outputTokens,
    });
  }
}
