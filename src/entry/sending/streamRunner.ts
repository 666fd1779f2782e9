import type { Manifest } from '../../manifest/manifest';
import type { Metrics } from '../../telemetry/metrics';
import type { Clock } from '../../utils/clock';
import { AnswerRelay } from './answerRelay';
import { hasToken } from '../callers/answerSink';
import type { EngineClient, EngineEvent } from './engineClient';
import { KeptAnswer } from '../callers/keptAnswer';
import type { ClaimedDispatch } from './requestClaim';
import type { RequestJob } from '../callers/requestJob';
import type { SlotKeeper, SlotTimes } from '../choosing/slotKeeper';

const ANSWER_TYPE = 'application/json';

/** What runs the stream of a dispatched request. */
export interface StreamRunnerParts {
  readonly slots: SlotKeeper;
  readonly engines: EngineClient;
  readonly metrics: Metrics;
  readonly clock: Clock;
  readonly readManifest: () => Manifest;
}

type RelayResult = SlotTimes & { readonly kept: KeptAnswer };

/**
 * Brings the stream of a dispatched request to its caller, and notes how long it took.
 *
 * @example
 * await streams.run(job, dispatch, events, headers);
 */
export class StreamRunner {
  constructor(private readonly parts: StreamRunnerParts) {}

  /** Relays to the end of the answer; an answer that is whole is kept with the claim. */
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
      slots.finish(job.request, 'complete', result);
      this.countGoodput(job, result);
      await job.sink.end();
      await job.claim.finish({
        answer: result.kept, status: 200, contentType: ANSWER_TYPE,
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
    const kept = new KeptAnswer(
      job.claim.isKeyed ? this.parts.readManifest().limits.answerBytes : 0,
    );
    const sentAt = clock.now();
    const times = { firstTokenMs: 0, outputTokens: 0 };
    const relay = new AnswerRelay(engines, {
      address: dispatch.workerAddress,
      streamId: dispatch.streamId,
      canResume: dispatch.canResume,
      headers,
    }, job.relaying);
    await relay.run(events, async ({ data }) => {
      if (hasToken(data)) {
        times.outputTokens += 1;
        if (times.outputTokens === 1) times.firstTokenMs = this.noteFirstToken(job, sentAt);
      }
      kept.add(data);
      if (!job.caller.isGone()) await job.sink.deliver(data);
    }).finally(() => metrics.resumes.inc(relay.resumes));
    return { ...times, kept, totalMs: clock.now() - sentAt };
  }

  private noteFirstToken(job: RequestJob, sentAt: number): number {
    const now = this.parts.clock.now();
    this.parts.slots.start(job.request);
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
    if (inTime && !job.caller.isGone()) this.parts.metrics.goodput.inc({ tier: job.request.tier });
  }
}
