import { randomUUID } from 'node:crypto';
import { setTimeout as pause } from 'node:timers/promises';
import type { AskReply, ClaimValue } from '../../protocol/generated/beechlift';
import { GRANT_TIMEOUT_MS } from '../../core/schedule/grantSystem';
import { BeechliftError } from '../../errors/beechliftError';
import type { Manifest } from '../../manifest/manifest';
import type { Metrics } from '../../telemetry/metrics';
import type { HopTracer } from '../../telemetry/tracing';
import type { Clock } from '../../utils/clock';
import { ENGINE_IDLE_TIMEOUT_MS } from './answerRelay';
import { EngineFailure } from './engineFailure';
import { EngineRefusal } from './engineRefusal';
import type { EngineClient } from './engineClient';
import { decodeStoredAnswer } from '../callers/answerBuffer';
import {
  buildStreamBody, handleDispatchError, replayAnswer, toBackendError,
} from './modelSteps';
import { releaseAndRefuse } from './releaseAndRefuse';
import type { RequestJob } from '../callers/requestJob';
import type { ClaimedDispatch } from './requestClaim';
import type { RetryBudget } from './retryBudget';
import type { SlotClient } from '../choosing/slotClient';
import { prepareRetry } from './prepareRetry';
import { StreamRunner } from './streamRunner';
import { UnknownStreamError } from './unknownStreamError';

/** Maximum time from a written claim to the arrival of its dispatch at the engine. */
const MAX_DISPATCH_DELAY_MS = GRANT_TIMEOUT_MS + 500;
const ARRIVAL_POLL_MS = 100;

/** Dependencies of the model runner. */
export interface ModelRunnerParts {
  readonly slots: SlotClient;
  readonly engines: EngineClient;
  readonly budget: RetryBudget;
  readonly metrics: Metrics;
  readonly tracer: HopTracer;
  readonly clock: Clock;
  readonly readManifest: () => Manifest;
  readonly isServing: () => boolean;
}

interface GrantedDispatch {
  readonly dispatch: ClaimedDispatch;
  readonly grantMs: number;
  readonly grantedAt: number;
}

/**
 * Runs a model request from acquiring its claim to the end of its answer.
 *
 * @example
 * await runner.run(job);
 */
export class ModelRunner {
  private readonly streams: StreamRunner;

  constructor(private readonly parts: ModelRunnerParts) {
    this.streams = new StreamRunner(parts);
  }

  /** Runs a request; resolves when its answer is complete, throws when there is none. */
  async run(job: RequestJob): Promise<void> {
    const grant = await this.acquireClaimAndSlot(job);
    if (grant) await this.dispatch(job, grant);
    else await this.answerFromClaim(job);
  }

  /**
   * Acquires the claim while the request is queued, so that it adds no latency.
   *
   * @returns the grant, or undefined when an earlier attempt with the same key is to be resumed
   */
  private async acquireClaimAndSlot(job: RequestJob): Promise<AskReply | undefined> {
    const { slots, tracer } = this.parts;
    const { span } = tracer.startHop('claim', job.context, { keyed: job.claim.hasKey });
    const claimed = job.claim.acquire(job.waitOperation)
      .catch((error: unknown) => {
        job.waitOperation.cancel('claim failed');
        throw error;
      })
      .then(() => {
        if (job.claim.bindingValue) job.waitOperation.cancel('an earlier attempt with the same key is resumed');
      })
      .finally(() => span.end());
    const granted = slots.acquire(job.request, job.waitOperation, job.context);
    const [claim, slot] = await Promise.allSettled([claimed, granted]);
    if (claim.status === 'rejected' || job.claim.bindingValue) {
      if (slot.status === 'fulfilled') slots.releaseUnused(job.request);
      if (claim.status === 'rejected') throw claim.reason;
      return undefined;
    }
    if (slot.status === 'rejected') return releaseAndRefuse(job, slot.reason);
    return slot.value;
  }

  private async dispatch(job: RequestJob, reply: AskReply): Promise<void> {
    const granted: GrantedDispatch = {
      dispatch: {
        workerId: reply.workerId,
        workerAddress: reply.workerAddress,
        workerIncarnation: reply.workerIncarnation,
        streamId: randomUUID(),
        canResume: reply.canResume,
      },
      grantMs: reply.grantMs,
      grantedAt: this.parts.clock.now(),
    };
    try {
      await job.claim.markDispatched(granted.dispatch, job.waitOperation);
    } catch (error) {
      this.parts.slots.releaseUnused(job.request);
      throw error;
    }
    if (this.isGrantUnusable(job, granted)) {
      this.parts.slots.releaseUnused(job.request);
      await this.retry(job, 'the grant was no longer usable');
      return;
    }
    await this.send(job, granted);
  }

  /*
   * An entry may be paused between its claim and its dispatch. The age of the grant, the
   * configuration lease and the caller are therefore checked right before the first byte is sent.
   */
  private isGrantUnusable(job: RequestJob, { grantedAt, grantMs }: GrantedDispatch): boolean {
    const age = this.parts.clock.now() - grantedAt;
    return age > grantMs || !this.parts.isServing() || job.caller.isDisconnected();
  }

  private async send(job: RequestJob, granted: GrantedDispatch): Promise<void> {
    const { tracer, engines } = this.parts;
    const { workerAddress, streamId, workerId } = granted.dispatch;
    const { span, childContext } = tracer.startHop(
      'engine',
      job.context,
      { worker: workerId, stream: streamId },
    );
    const headers = tracer.formatHeaders(childContext);
    try {
      const events = await engines.dispatch({
        address: workerAddress,
        streamId,
        path: job.request.path,
        body: buildStreamBody(job.request),
        headers,
        signal: job.relayOperation.signal,
      }, ENGINE_IDLE_TIMEOUT_MS)
        .catch((error: unknown) => handleDispatchError(error, granted.dispatch));
      await this.streams.run(job, granted.dispatch, events, headers);
    } catch (error) {
      await this.handleFailure(job, granted, error);
    } finally {
      span.end();
    }
  }

  private async handleFailure(
    job: RequestJob,
    granted: GrantedDispatch,
    error: unknown,
  ): Promise<void> {
    const { slots, metrics } = this.parts;
    if (error instanceof EngineFailure && error.reach === 'notSent') {
      slots.release(job.request, 'unreachable');
      await this.retry(job, `backend server "${granted.dispatch.workerId}" could not be reached`);
      return;
    }
    if (error instanceof UnknownStreamError) {
      await this.handleUnknownStream(job, granted, error);
      return;
    }
    slots.release(job.request, job.caller.isDisconnected() ? 'cancelled' : 'failed');
    metrics.wastedPrefill.inc({ reason: 'dropped' }, job.request.promptTokens);
    if (job.relayOperation.signal.aborted) await this.cancelStream(granted.dispatch);
    throw error instanceof EngineRefusal ? toBackendError(error) : error;
  }

  private async cancelStream({ workerAddress, streamId }: ClaimedDispatch): Promise<void> {
    await this.parts.engines.cancel(workerAddress, streamId);
  }

  private async handleUnknownStream(
    job: RequestJob,
    granted: GrantedDispatch,
    error: UnknownStreamError,
  ): Promise<void> {
    const isProven = error.offset === 0 && await this.isProvenNotRun(granted.dispatch);
    this.parts.slots.release(job.request, 'failed');
    if (isProven) {
      await this.retry(job, 'the engine never received the stream and blocks it now');
      return;
    }
    this.parts.metrics.wastedPrefill.inc({ reason: 'dropped' }, job.request.promptTokens);
    throw new BeechliftError('backendFailed', `the engine lost stream ${error.streamId} at event ${error.offset}`, {
      run: error.offset > 0 ? 'ran' : 'unknown', steps: job.relayOperation.steps,
    });
  }

  /*
   * Prevents running a request twice after a dispatch with an unknown outcome. The request
   * provably did not run when the engine reports that it never received the stream, blocks the
   * stream id, and is the same incarnation that the request was dispatched to. It then refuses a
   * dispatch that arrives later.
   */
  private async isProvenNotRun(
    dispatch: Pick<ClaimedDispatch,
    'workerAddress' | 'streamId' | 'workerIncarnation'>,
  ): Promise<boolean> {
    const { state, incarnation } = await this.parts.engines.cancel(
      dispatch.workerAddress,
      dispatch.streamId,
    );
    return state === 'neverSeen' && incarnation !== '' && incarnation === dispatch.workerIncarnation;
  }

  /** Retries after a dispatch that provably did no work, within the retry limits. */
  private async retry(job: RequestJob, reason: string): Promise<void> {
    await prepareRetry(this.parts, job, reason);
    const reply = await this.parts.slots.acquire(job.request, job.waitOperation, job.context)
      .catch((error: unknown) => releaseAndRefuse(job, error));
    await this.dispatch(job, reply);
  }

  /** Answers with the stored or resumed answer of an earlier attempt with the same key. */
  private async answerFromClaim(job: RequestJob): Promise<void> {
    const bindingValue = job.claim.bindingValue as ClaimValue;
    if (bindingValue.state === 'finished' && bindingValue.answerKept) {
      await replayAnswer(job.sink, decodeStoredAnswer(bindingValue.answer));
      return;
    }
    await job.claim.confirmAcceptedValue(job.relayOperation);
    if (!bindingValue.canResume) {
      throw new BeechliftError(bindingValue.state === 'finished' ? 'answerGone' : 'outcomeUnknown', 'a request with the same key was dispatched before, and its answer cannot be resumed', { retryAfterMs: 1_000 });
    }
    await this.resumeEarlierAttempt(job, bindingValue);
  }

  /*
   * Prevents cancelling a dispatch that is still in flight: its entry wrote the claim, and sends
   * the first byte before the grant expires. Until then, an engine that does not have the stream
   * proves nothing, and blocking the stream would make both the request and its resend fail.
   */
  private async resumeEarlierAttempt(
    job: RequestJob,
    bindingValue: ClaimValue,
    arrivalDeadline = this.parts.clock.now() + MAX_DISPATCH_DELAY_MS,
  ): Promise<void> {
    const headers = this.parts.tracer.formatHeaders(job.context);
    try {
      await this.streams.run(job, bindingValue, undefined, headers);
    } catch (error) {
      if (!(error instanceof UnknownStreamError)) throw error;
      const mayArrive = error.offset === 0 && bindingValue.state === 'dispatched'
        && this.parts.clock.now() < arrivalDeadline && !job.caller.isDisconnected();
      if (!mayArrive) {
        await this.handleLostStream(job, bindingValue, error);
        return;
      }
      await pause(ARRIVAL_POLL_MS);
      await this.resumeEarlierAttempt(job, bindingValue, arrivalDeadline);
    }
  }

  private async handleLostStream(
    job: RequestJob,
    bindingValue: ClaimValue,
    error: UnknownStreamError,
  ): Promise<void> {
    if (bindingValue.state === 'finished') {
      throw new BeechliftError('answerGone', 'the request ran, but neither the engine nor the claim has its answer any more');
    }
    const isProven = error.offset === 0 && await this.isProvenNotRun(bindingValue);
    if (!isProven) {
      throw new BeechliftError('outcomeUnknown', 'the engine has no record of the stream and cannot prove that it never ran', { steps: job.relayOperation.steps });
    }
    await this.retry(job, 'the earlier attempt never reached its engine');
  }
}
