import type { PlacedReport } from '../protocol/generated/beechlift';
import { NO_TIMINGS } from '../core/routing/placementTables';
import { recordAnswer, recordPace } from '../core/routing/routedWorkers';
import type { Clock } from '../utils/clock';
import type { AnswerWriter } from './answerWriter';
import type { PlaceClient } from './placeClient';
import type { RelaySite } from './relaySite';
import type { RequestFacts } from './requestDialect';
import type { PickedWorker } from './pickRequest';

/** Outcome of one attempt. */
export type AttemptOutcome = | { readonly kind: 'answered' }
  /** The stream seems complete, but another server may have more of it. */
  | { readonly kind: 'unconfirmed'; readonly reason: string }
  /** The request no longer needed an answer. */
  | { readonly kind: 'dropped'; readonly reason: string }
  /** The server did not run the request, or received no byte of it. */
  | { readonly kind: 'unsent' | 'rejected'; readonly reason: string }
  /** No byte was sent, as the server must get no new requests. */
  | { readonly kind: 'withheld'; readonly reason: string }
  /** The server may have run the request. */
  | { readonly kind: 'broken' | 'failed'; readonly reason: string };

/** Phase that is reported to the leader for each outcome. */
const PLACED_PHASES: Record<AttemptOutcome['kind'], string> = {
  answered: 'ended',
  unconfirmed: 'ended',
  dropped: 'dropped',
  failed: 'failed',
  broken: 'unreached',
  rejected: 'rejected',
  unsent: 'unreached',
  withheld: 'dropped',
};

/** Events of a stream between two measurements of its server's pace. */
const PACE_SAMPLE_CHUNKS = 8;

/** Dependencies of an attempt tracker, and the attempt. */
export interface AttemptTrackerParts {
  readonly site: RelaySite;
  readonly placeClient: PlaceClient;
  readonly clock: Clock;
  readonly picked: PickedWorker;
  readonly writer: AnswerWriter;
  readonly facts: RequestFacts;
  readonly isStream: boolean;
}

/**
 * Tracks one attempt at one backend server: counts it as in flight, updates the statistics of the
 * server, and reports the progress to the leader.
 *
 * @example
 * const tracker = new AttemptTracker(parts); // counts the request as in flight
 * tracker.recordHead();
 * tracker.reportOutcome('answered');
 */
export class AttemptTracker {
  /** When the request was sent, monotonic milliseconds. */
  readonly startedAt: number;

  /** Prompt tokens that the server had not processed yet when the request was sent. */
  private readonly pendingTokensBefore: number;

  private isPrefillPending = true;

  private hasReportedStart = false;

  /** Whether another server sent events before: the times of the answer are not this server's. */
  private readonly isContinued: boolean;

  /** When the request left the server; undefined until then. */
  private releasedAt: number | undefined;

  constructor(private readonly parts: AttemptTrackerParts) {
    const {
      picked, clock, writer, site,
    } = parts;
    this.isContinued = writer.chunkCount > 0;
    const { worker } = picked;
    this.startedAt = clock.now();
    this.pendingTokensBefore = worker.pendingTokens + worker.othersPendingTokens;
    worker.inFlight += 1;
    site.countSlot(picked, 1);
    worker.pendingTokens += this.promptTokens;
  }

  /** Records that the answer has started: the server has processed the prompt. */
  recordHead(): void {
    if (!this.isPrefillPending) return;
    this.isPrefillPending = false;
    this.parts.picked.worker.pendingTokens -= this.promptTokens;
  }

  /**
   * Records a chunk that was passed on: reports the first one, and the pace every
   * `PACE_SAMPLE_CHUNKS` events.
   */
  recordChunk(): void {
    const { isStream, picked } = this.parts;
    const { firstChunkAt, lastChunkAt, chunkCount } = this.parts.writer;
    if (!isStream || chunkCount === 0) return;
    const hasPaceSample = !this.isContinued && chunkCount % PACE_SAMPLE_CHUNKS === 0;
    const paceMs = hasPaceSample ? (lastChunkAt - firstChunkAt) / (chunkCount - 1) : 0;
    if (hasPaceSample) recordPace(picked.worker, paceMs);
    if (!hasPaceSample && this.hasReportedStart) return;
    this.hasReportedStart = true;
    this.report({ phase: 'running', ...NO_TIMINGS, paceMs });
  }

  /** Records that the request has left the server; does nothing the second time. */
  releaseWorker(): void {
    if (this.releasedAt !== undefined) return;
    const { picked, site, clock } = this.parts;
    this.releasedAt = clock.now();
    this.recordHead();
    picked.worker.inFlight -= 1;
    site.countSlot(picked, -1);
  }

  /** Reports that the slot was not used: no byte was sent, nor will be. */
  reportUnused(): void {
    this.report({ phase: 'unused', ...NO_TIMINGS });
  }

  /** Reports the outcome of the attempt to the leader. */
  reportOutcome(kind: AttemptOutcome['kind']): void {
    const { firstChunkAt, lastChunkAt, chunkCount } = this.parts.writer;
    const isTimed = PLACED_PHASES[kind] === 'ended' && chunkCount > 0 && !this.isContinued;
    this.report({
      phase: PLACED_PHASES[kind],
      paceMs: 0,
      firstEventMs: isTimed ? firstChunkAt - this.startedAt : 0,
      outputMs: isTimed ? lastChunkAt - firstChunkAt : 0,
    });
  }

  /** Updates the statistics of the server with an answer that was received. */
  recordResult(failed: boolean): void {
    const {
      site, clock, isStream, picked,
    } = this.parts;
    const { firstChunkAt, lastChunkAt, chunkCount } = this.parts.writer;
    const { tokens } = this.parts.facts;
    const isTimed = isStream && tokens !== undefined && chunkCount > 0 && !this.isContinued;
    const holdMs = (this.releasedAt ?? clock.now()) - this.startedAt;
    recordAnswer(site.workers, picked.worker, {
      holdMs,
      paceMs: isStream ? 0 : holdMs,
      firstEvent: isTimed
        ? { ms: firstChunkAt - this.startedAt, tokens: tokens.prompt + this.pendingTokensBefore }
        : undefined,
      output: isTimed ? { ms: lastChunkAt - firstChunkAt, tokens: tokens.expected } : undefined,
      failed,
    });
  }

  /** Updates the statistics of the server with an attempt that got no answer. */
  recordFailure(): void {
    recordAnswer(this.parts.site.workers, this.parts.picked.worker, {
      holdMs: 0, paceMs: 0, firstEvent: undefined, output: undefined, failed: true,
    });
  }

  private get promptTokens(): number {
    return this.parts.facts.tokens?.prompt ?? 0;
  }

  private report(update: Omit<PlacedReport, 'placeId'>): void {
    const { picked, placeClient } = this.parts;
    if (picked.placeId !== '') placeClient.report({ placeId: picked.placeId, ...update });
  }
}
