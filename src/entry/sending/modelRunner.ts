import { randomUUID } from 'node:crypto';
import { setTimeout as pause } from 'node:timers/promises';
import type { AskReply, ClaimValue } from '../../protocol/generated/beechlift';
import { GRANT_MS } from '../../core/schedule/grantSystem';
import { BeechliftError } from '../../errors/beechliftError';
import type { Manifest } from '../../manifest/manifest';
import type { Metrics } from '../../telemetry/metrics';
import type { HopTracer } from '../../telemetry/tracing';
import type { Clock } from '../../utils/clock';
import { ENGINE_SILENCE_MS } from './answerRelay';
import { EngineFailure } from './engineFailure';
import { EngineRefusal } from './engineRefusal';
import type { EngineClient } from './engineClient';
import { decodeKeptAnswer } from '../callers/keptAnswer';
import {
  buildStreamBody, judgeDispatch, replayAnswer, toBackendError,
} from './modelSteps';
import { refuseReleased } from './refuseReleased';
import type { RequestJob } from '../callers/requestJob';
import type { ClaimedDispatch } from './requestClaim';
import type { RetryBudget } from './retryBudget';
import type { SlotKeeper } from '../choosing/slotKeeper';
import { startOver } from './startOver';
import { StreamRunner } from './streamRunner';
import { StreamUnknown } from './streamUnknown';

/** Longest time from a written claim to the arrival of its dispatch at the engine. */
const DISPATCH_FLIGHT_MS = GRANT_MS + 500;
const ARRIVAL_POLL_MS = 100;

/** What runs model requests. */
export interface ModelRunnerParts {
  readonly slots: SlotKeeper;
  readonly engines: EngineClient;
  readonly budget: RetryBudget;
  readonly metrics: Metrics;
  readonly tracer: HopTracer;
  readonly clock: Clock;
  readonly readManifest: () => Manifest;
  readonly isServing: () => boolean;
}

interface Granted {
  readonly dispatch: ClaimedDispatch;
  readonly grantMs: number;
  readonly grantedAt: number;
}

/**
 * Takes a model request from its claim to the end of its answer.
 *
 * @example
 * await runner.run(job);
 */
export class ModelRunner {
  private readonly streams: StreamRunner;

  constructor(private readonly parts: ModelRunnerParts) {
    this.streams = new StreamRunner(parts);
  }

  /** Runs a request; resolves when its answer is whole, throws when it gets none. */
  async run(job: RequestJob): Promise<void> {
    const grant = await this.takeClaimAndSlot(job);
    if (grant) await this.dispatch(job, grant);
    else await this.takeUp(job);
  }

  /**
   * Takes the claim while the request queues, so that it costs no time of its own.
   *
   * @returns the grant, or undefined when an earlier attempt with the same key is to be taken up
   */
  private async takeClaimAndSlot(job: RequestJob): Promise<AskReply | undefined> {
    const { slots, tracer } = this.parts;
    const { span } = tracer.startHop('claim', job.context, { keyed: job.claim.isKeyed });
    const claimed = job.claim.take(job.waiting)
      .catch((error: unknown) => {
        job.waiting.cancel('claim failed');
        throw error;
      })
      .then(() => {
        if (job.claim.bound) job.waiting.cancel('an earlier attempt is taken up');
      })
      .finally(() => span.end());
    const granted = slots.take(job.request, job.waiting, job.context);
    const [claim, slot] = await Promise.allSettled([claimed, granted]);
    if (claim.status === 'rejected' || job.claim.bound) {
      if (slot.status === 'fulfilled') slots.drop(job.request);
      if (claim.status === 'rejected') throw claim.reason;
      return undefined;
    }
    if (slot.status === 'rejected') return refuseReleased(job, slot.reason);
    return slot.value;
  }

  private async dispatch(job: RequestJob, reply: AskReply): Promise<void> {
    const granted: Granted = {
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
      await job.claim.markDispatched(granted.dispatch, job.waiting);
    } catch (error) {
      this.parts.slots.drop(job.request);
      throw error;
    }
    if (this.isTooLate(job, granted)) {
      this.parts.slots.drop(job.request);
      await this.tryAgain(job, 'the grant was too old to be used');
      return;
    }
    await this.send(job, granted);
  }

  /*
   * Guards against an entry that was paused between its claim and its dispatch: the grant, the
   * configuration lease and the caller are looked at again right before the first byte.
   */
  private isTooLate(job: RequestJob, { grantedAt, grantMs }: Granted): boolean {
    const age = this.parts.clock.now() - grantedAt;
    return age > grantMs || !this.parts.isServing() || job.caller.isGone();
  }

  private async send(job: RequestJob, granted: Granted): Promise<void> {
    const { tracer, engines } = this.parts;
    const { workerAddress, streamId, workerId } = granted.dispatch;
    const { span, below } = tracer.startHop(
      'engine',
      job.context,
      { worker: workerId, stream: streamId },
    );
    const headers = tracer.formatHeaders(below);
    try {
      const events = await engines.dispatch({
        address: workerAddress,
        streamId,
        path: job.request.path,
        body: buildStreamBody(job.request),
        headers,
        signal: job.relaying.signal,
      }, ENGINE_SILENCE_MS).catch((error: unknown) => judgeDispatch(error, granted.dispatch));
      await this.streams.run(job, granted.dispatch, events, headers);
    } catch (error) {
      await this.handleFailure(job, granted, error);
    } finally {
      span.end();
    }
  }

  private async handleFailure(job: RequestJob, granted: Granted, error: unknown): Promise<void> {
    const { slots, metrics } = this.parts;
    if (error instanceof EngineFailure && error.reach === 'notSent') {
      slots.finish(job.request, 'unreachable');
      await this.tryAgain(job, `backend server "${granted.dispatch.workerId}" could not be reached`);
      return;
    }
    if (error instanceof StreamUnknown) {
      await this.handleUnknownStream(job, granted, error);
      return;
    }
    slots.finish(job.request, job.caller.isGone() ? 'cancelled' : 'failed');
    metrics.wastedPrefill.inc({ reason: 'dropped' }, job.request.promptTokens);
    if (job.relaying.signal.aborted) await this.cancelStream(granted.dispatch);
    throw error instanceof EngineRefusal ? toBackendError(error) : error;
  }

  private async cancelStream({ workerAddress, streamId }: ClaimedDispatch): Promise<void> {
    await this.parts.engines.cancel(workerAddress, streamId);
  }

  private async handleUnknownStream(
    job: RequestJob,
    granted: Granted,
    error: StreamUnknown,
  ): Promise<void> {
    const proven = error.offset === 0 && await this.isProvenNotRun(granted.dispatch);
    this.parts.slots.finish(job.request, 'failed');
    if (proven) {
      await this.tryAgain(job, 'the engine never saw the stream and bars it now');
      return;
    }
    this.parts.metrics.wastedPrefill.inc({ reason: 'dropped' }, job.request.promptTokens);
    throw new BeechliftError('backendFailed', `the engine lost stream ${error.streamId} at event ${error.offset}`, {
      run: error.offset > 0 ? 'ran' : 'unknown', steps: job.relaying.steps,
    });
  }

  /*
   * Guards against running a request twice after a dispatch whose fate is unknown: the engine bars
   * the stream id and says that it never saw it, and it is the same start of the engine that was
   * dispatched to. A dispatch that is still on its way is then refused there.
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

  /** Starts over after a dispatch that provably did no work, within the bounds of retries. */
  private async tryAgain(job: RequestJob, reason: string): Promise<void> {
    await startOver(this.parts, job, reason);
    const reply = await this.parts.slots.take(job.request, job.waiting, job.context)
      .catch((error: unknown) => refuseReleased(job, error));
    await this.dispatch(job, reply);
  }

  /** Answers from what an earlier attempt with the same key did. */
  private async takeUp(job: RequestJob): Promise<void> {
    const bound = job.claim.bound as ClaimValue;
    if (bound.state === 'finished' && bound.answerKept) {
      await replayAnswer(job.sink, decodeKeptAnswer(bound.answer));
      return;
    }
    await job.claim.confirmBound(job.relaying);
    if (!bound.canResume) {
      throw new BeechliftError(bound.state === 'finished' ? 'answerGone' : 'outcomeUnknown', 'the same key was dispatched before, and its answer cannot be taken up again', { retryAfterMs: 1_000 });
    }
    await this.resumeBound(job, bound);
  }

  /*
   * Guards against cutting a dispatch off that is still on its way: its entry wrote the claim, and
   * its first byte follows within the life of a grant. Until then an engine that does not know
   * the stream proves nothing; to bar the stream would turn a good request into two errors.
   */
  private async resumeBound(
    job: RequestJob,
    bound: ClaimValue,
    arrivesBy = this.parts.clock.now() + DISPATCH_FLIGHT_MS,
  ): Promise<void> {
    const headers = this.parts.tracer.formatHeaders(job.context);
    try {
      await this.streams.run(job, bound, undefined, headers);
    } catch (error) {
      if (!(error instanceof StreamUnknown)) throw error;
      const mayArrive = error.offset === 0 && bound.state === 'dispatched'
        && this.parts.clock.now() < arrivesBy && !job.caller.isGone();
      if (!mayArrive) {
        await this.settleLostStream(job, bound, error);
        return;
      }
      await pause(ARRIVAL_POLL_MS);
      await this.resumeBound(job, bound, arrivesBy);
    }
  }

  private async settleLostStream(
    job: RequestJob,
    bound: ClaimValue,
    error: StreamUnknown,
  ): Promise<void> {
    if (bound.state === 'finished') {
      throw new BeechliftError('answerGone', 'the request ran, and neither the engine nor the claim keeps its answer');
    }
    const proven = error.offset === 0 && await this.isProvenNotRun(bound);
    if (!proven) {
      throw new BeechliftError('outcomeUnknown', 'the engine does not know the stream and cannot prove that it never ran', { steps: job.relaying.steps });
    }
    await this.tryAgain(job, 'the earlier attempt never reached its engine');
  }
}
