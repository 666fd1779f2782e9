import { randomUUID } from 'node:crypto';
import type { AskReply, ClaimValue } from '../../protocol/generated/beechlift';
import { BeechliftError } from '../../errors/beechliftError';
import type { Manifest } from '../../manifest/manifest';
import type { Metrics } from '../../telemetry/metrics';
import type { HopTracer } from '../../telemetry/tracing';
import type { Clock } from '../../utils/clock';
import { EngineFailure } from './engineFailure';
import { releaseAndRefuse } from './releaseAndRefuse';
import type { RequestJob } from '../callers/requestJob';
import { callService } from './serviceClient';
import type { ServiceAnswer } from './serviceClient';
import type { RetryBudget } from './retryBudget';
import type { SlotClient } from '../choosing/slotClient';
import { prepareRetry } from './prepareRetry';

/** The HTTP request that is sent to the service. */
export interface ServiceDispatch {
  readonly method: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer;
}

/** Dependencies of the service runner. */
export interface ServiceRunnerParts {
  readonly slots: SlotClient;
  readonly tracer: HopTracer;
  readonly clock: Clock;
  readonly budget: RetryBudget;
  readonly metrics: Metrics;
  readonly readManifest: () => Manifest;
  readonly isServing: () => boolean;
}

const TYPE_HEADER = 'content-type';

/**
 * Runs a call to a plain service from acquiring its claim to its answer. A call that may have been
 * sent is never sent again; one that provably was not is sent to another server.
 *
 * @example
 * const answer = await runner.run(job, { method: 'POST', headers, body });
 */
export class ServiceRunner {
  constructor(private readonly parts: ServiceRunnerParts) {}

  /** Runs a call and returns the complete answer. */
  async run(job: RequestJob, dispatch: ServiceDispatch): Promise<ServiceAnswer> {
    await job.claim.acquire(job.waitOperation);
    const { bindingValue } = job.claim;
    if (bindingValue) return this.answerFromClaim(bindingValue);
    return this.acquireSlotAndSend(job, dispatch);
  }

  private async acquireSlotAndSend(
    job: RequestJob,
    dispatch: ServiceDispatch,
  ): Promise<ServiceAnswer> {
    const grant = await this.parts.slots.acquire(job.request, job.waitOperation, job.context)
      .catch((error: unknown) => releaseAndRefuse(job, error));
    await this.claimDispatch(job, grant);
    return this.send(job, grant, dispatch);
  }

  private answerFromClaim(bindingValue: ClaimValue): ServiceAnswer {
    if (bindingValue.state === 'finished' && bindingValue.answerKept) {
      return {
        status: bindingValue.status,
        headers: {
          [TYPE_HEADER]: bindingValue.contentType,
        },
        body: Buffer.from(bindingValue.answer),
      };
    }
    if (bindingValue.state === 'finished') throw new BeechliftError('answerGone', 'the call ran, but its answer was too large to be stored');
    throw new BeechliftError('outcomeUnknown', 'a call with the same key was sent before, and its outcome is not known', { retryAfterMs: 1_000 });
  }

  private async claimDispatch(job: RequestJob, grant: AskReply): Promise<void> {
    const grantedAt = this.parts.clock.now();
    try {
      await job.claim.markDispatched({
        workerId: grant.workerId,
        workerAddress: grant.workerAddress,
        workerIncarnation: grant.workerIncarnation,
        streamId: randomUUID(),
        canResume: false,
      }, job.waitOperation);
    } catch (error) {
      this.parts.slots.releaseUnused(job.request);
      throw error;
    }
    const age = this.parts.clock.now() - grantedAt;
    if (age <= grant.grantMs && this.parts.isServing() && !job.caller.isDisconnected()) return;
    this.parts.slots.releaseUnused(job.request);
    await releaseAndRefuse(job, new BeechliftError('noSlotInTime', 'the grant was no longer usable', { retryAfterMs: 500 }));
  }

  private async send(
    job: RequestJob,
    grant: AskReply,
    dispatch: ServiceDispatch,
  ): Promise<ServiceAnswer> {
    const { tracer, slots, clock } = this.parts;
    const { span, childContext } = tracer.startHop('service', job.context, { worker: grant.workerId });
    const sentAt = clock.now();
    try {
      const answer = await callService({
        ...dispatch,
        address: grant.workerAddress,
        path: job.request.path,
        headers: { ...dispatch.headers, ...tracer.formatHeaders(childContext) },
        timeoutMs: Math.max(1, job.request.deadlineMs),
        maxBytes: this.parts.readManifest().limits.bodyBytes,
      });
      const totalMs = clock.now() - sentAt;
      slots.release(job.request, 'complete', { firstTokenMs: totalMs, totalMs, outputTokens: 1 });
      await this.storeAnswer(job, answer);
      return answer;
    } catch (error) {
      return await this.handleFailure(job, grant, dispatch, error);
    } finally {
      span.end();
    }
  }

  /** Stores the answer before it is sent, so that a resend after a crash of this entry finds it. */
  private async storeAnswer(job: RequestJob, answer: ServiceAnswer): Promise<void> {
    const { answerBytes } = this.parts.readManifest().limits;
    await job.claim.finish({
      answer: { isComplete: answer.body.length <= answerBytes, encode: () => answer.body },
      status: answer.status,
      contentType: answer.headers[TYPE_HEADER] ?? '',
    }).catch(() => undefined);
  }

  private async handleFailure(
    job: RequestJob,
    grant: AskReply,
    dispatch: ServiceDispatch,
    error: unknown,
  ): Promise<ServiceAnswer> {
    const notSent = error instanceof EngineFailure && error.reach === 'notSent';
    this.parts.slots.release(job.request, notSent ? 'unreachable' : 'failed');
    if (notSent) {
      await prepareRetry(this.parts, job, `backend server "${grant.workerId}" could not be reached`);
      return this.acquireSlotAndSend(job, dispatch);
    }
    if (error instanceof BeechliftError) throw error;
    throw new BeechliftError('outcomeUnknown', `the call may have been sent, and no complete answer was received: ${(error as Error).message}`);
  }
}
