import type { Manifest } from '../../manifest/manifest';
import type { Metrics } from '../../telemetry/metrics';
import type { Clock } from '../../utils/clock';
import { AnswerRelay } from './answerRelay';
import { hasToken } from '../callers/answerSink';
import type { EngineClient, EngineEvent } from './engineClient';
import { AnswerBuffer } from '../callers/answerBuffer';
import type { ClaimedDispatch } from './requestClaim';
import type { RequestJob } from '../callers/requestJob';
import type { SlotClient, SlotTimes } from '../choosing/slotClient';

const ANSWER_TYPE = 'application/json';

/** Dependencies of the stream runner. */
export interface StreamRunnerParts {
  readonly slots: SlotClient;
  readonly engines: EngineClient;
  readonly metrics: Metrics;
  readonly clock: Clock;
  readonly readManifest: () => Manifest;
}

type RelayResult = SlotTimes & { readonly answer: AnswerBuffer };

/**
 * Relays the stream of a dispatched request to its caller and measures its times.
 *
 * @example
 * await streams.run(job, dispatch, events, headers);
 */
export class StreamRunner {
  constructor(private readonly parts: StreamRunnerParts) {}

  /** Relays the stream to its end and stores the complete answer with the claim. */
  async run(
    job: RequestJob,
    dispatch: ClaimedDispatch,
    events: AsyncGenerator<EngineEvent> | undefined,
    headers: Readonly<Record<string, string>>,
  ): Promise<void> {
    const { metrics, slots } = this.parts;
    metrics.openStreams.inc();
    try {
      const result = await this.relayEvents(job, dispatch, events, headers);
      slots.release(job.request, 'complete', result);
      this.countGoodput(job, result);
      await job.sink.end();
      await job.claim.finish({
        answer: result.answer, status: 200, contentType: ANSWER_TYPE,
      }).catch(() => undefined);
    } finally {
      metrics.openStreams.dec();
    }
  }

  private async relayEvents(
    job: RequestJob,
    dispatch: ClaimedDispatch,
    events: AsyncGenerator<EngineEvent> | undefined,
    headers: Readonly<Record<string, string>>,
  ): Promise<RelayResult> {
    const { clock, engines, metrics } = this.parts;
    const answer = new AnswerBuffer(
      job.claim.hasKey ? this.parts.readManifest().limits.answerBytes : 0,
    );
    const sentAt = clock.now();
    const times = { firstTokenMs: 0, outputTokens: 0 };
    const relay = new AnswerRelay(engines, {
      address: dispatch.workerAddress,
      streamId: dispatch.streamId,
      canResume: dispatch.canResume,
      headers,
    }, job.relayOperation);
    await relay.run(events, async ({ data }) => {
      if (hasToken(data)) {
        times.outputTokens += 1;
        if (times.outputTokens === 1) times.firstTokenMs = this.recordFirstToken(job, sentAt);
      }
      answer.add(data);
      if (!job.caller.isDisconnected()) await job.sink.deliver(data);
    }).finally(() => metrics.resumes.inc(relay.resumes));
    return { ...times, answer, totalMs: clock.now() - sentAt };
  }

  private recordFirstToken(job: RequestJob, sentAt: number): number {
    const now = this.parts.clock.now();
    this.parts.slots.reportFirstToken(job.request);
    this.parts.metrics.firstToken.observe(
      { tier: job.request.tier },
      (now - job.startedAt) / 1_000,
    );
    return now - sentAt;
  }

  private countGoodput(job: RequestJob, { firstTokenMs, totalMs }: SlotTimes): void {
    const tier = this.parts.readManifest().tiers[job.request.tier];
    const elapsed = this.parts.clock.now() - job.startedAt;
    const toFirst = elapsed - totalMs + firstTokenMs;
    const inTime = tier !== undefined && elapsed <= tier.totalMs && toFirst <= tier.firstTokenMs;
    if (inTime
      && !job.caller.isDisconnected()) this.parts.metrics.goodput.inc({ tier: job.request.tier });
  }
}
