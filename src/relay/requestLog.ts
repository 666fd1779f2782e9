import type { BeechliftError } from '../errors/beechliftError';
import type { LogFields } from '../telemetry/logger';
import type { AdmittedRequest } from './admitRequest';
import type { AnswerWriter } from './answerWriter';
import type { AttemptOutcome } from './attemptTracker';
import type { RequestGuard } from './requestGuard';
import type { RequestFacts } from './requestDialect';
import type { RequestParts } from './requestParts';
import type { CallSummary } from './upstreamCall';
import type { PickedWorker } from './pickRequest';

const MS_PER_SECOND = 1_000;

/** How far an answer has come. */
type AnswerProgress = Pick<AnswerWriter, 'statusCode' | 'chunkCount' | 'unwrittenBytes'>;

/**
 * Logs and counts one request: a line with the request's id for a refusal and for each attempt. The
 * level is `debug` for a first attempt that is answered, unless the request takes up a stream, only
 * the end of a connection marked the end of the answer, or the entry shuts down.
 *
 * @example
 * const log = new RequestLog(parts, facts, clock.now());
 * log.logRefusal(error, admitted, 0);
 */
export class RequestLog {
  /** Identifies the request and its resends; set once the body is read. */
  identity: Pick<RequestGuard, 'fingerprint'> | undefined;

  /** Summary of the latest call; set when it ends. */
  call: CallSummary | undefined;

  private attemptCount = 0;

  constructor(
    private readonly parts: Pick<RequestParts, 'metrics' | 'logger' | 'clock' | 'site'>,
    private readonly facts: Pick<RequestFacts, 'requestId' | 'lastEventId' | 'resumedId' | 'promptParts'>,
    private readonly receivedAt: number,
  ) {}

  /** Logs the outcome of an attempt at a backend server. */
  logAttempt(
    { route }: AdmittedRequest,
    { worker, expectedMs, placeId }: PickedWorker,
    outcome: AttemptOutcome,
    writer: AnswerProgress & Pick<AnswerWriter, 'hasStarted' | 'firstChunkAt' | 'isWithinEvent'>,
  ): void {
    const {
      metrics, logger, clock, site,
    } = this.parts;
    const now = clock.now();
    metrics.attempts.inc({ outcome: outcome.kind });
    if (outcome.kind === 'answered') {
      const answeredAt = route.kind === 'stream' && writer.chunkCount > 0 ? writer.firstChunkAt : now;
      const seconds = (answeredAt - this.receivedAt) / MS_PER_SECOND;
      metrics.latency.observe({ kind: route.kind }, seconds);
    }
    this.attemptCount += 1;
    const isFirstAnswered = outcome.kind === 'answered' && this.attemptCount === 1;
    const isCloseDelimited = this.call?.framing === 'closeDelimited';
    if (isCloseDelimited) metrics.closeDelimitedAnswers.inc({ outcome: outcome.kind });
    const isOrdinary = isFirstAnswered && this.facts.lastEventId === '' && !site.isLeaving && !isCloseDelimited;
    const isBroken = outcome.kind === 'broken';
    const level = isOrdinary ? 'debug' : 'info';
    logger[level]('attempt ended', {
      requestId: this.facts.requestId,
      fingerprint: isBroken ? this.identity?.fingerprint : undefined,
      promptParts: isBroken ? this.facts.promptParts.join(' ') : undefined,
      route: route.name,
      worker: worker.id,
      software: worker.software,
      takesUp: this.facts.lastEventId !== '' ? this.facts.resumedId || 'unnamed' : undefined,
      placed: placeId !== '',
      table: `${site.workersEpoch.slice(0, 8)}/${site.workersRevision}`,
      expectedMs: Math.round(expectedMs),
      outcome: outcome.kind,
      reason: outcome.kind === 'answered' ? undefined : outcome.reason,
      status: writer.statusCode,
      hasStarted: writer.hasStarted,
      chunks: writer.chunkCount,
      unwrittenBytes: writer.unwrittenBytes,
      ...this.call,
      isWithinEvent: isCloseDelimited ? writer.isWithinEvent : undefined,
      ...this.readLeaving(),
      tookMs: Math.round(now - this.receivedAt),
    });
  }

  /** Logs that a request stays at an unresponsive server because no other one accepts it. */
  logSilentWait(error: unknown): undefined {
    this.parts.logger.info('request stays at an unresponsive server', { requestId: this.facts.requestId, reason: String(error) });
    return undefined;
  }

  /** Logs that a stream is ended as complete although no server has proved it. */
  logUnprovedEnd({ message: reason }: BeechliftError): void {
    this.parts.logger.info('stream ended without proof', { requestId: this.facts.requestId, reason });
  }

  /** Logs an error of the entry that answers the request. */
  logRefusal(error: BeechliftError, admitted: AdmittedRequest | undefined, sent: number): void {
    this.parts.metrics.refusals.inc({ code: error.number });
    this.logError('request refused', error, admitted, sent);
  }

  /** Logs an error of the entry that cuts off an answer whose head was sent. */
  logAbort(
    error: BeechliftError,
    admitted: AdmittedRequest | undefined,
    sent: number,
    { statusCode, chunkCount, unwrittenBytes }: AnswerProgress,
  ): void {
    this.parts.metrics.abortedAnswers.inc({ code: error.number });
    this.logError('answer aborted', error, admitted, sent, {
      status: statusCode, chunks: chunkCount, unwrittenBytes,
    });
  }

  /** Logs an error with the routing document's version in force and what is left of the lease. */
  private logError(
    message: string,
    error: BeechliftError,
    admitted: AdmittedRequest | undefined,
    sent: number,
    progress: LogFields = {},
  ): void {
    const { logger, clock, site } = this.parts;
    logger.info(message, {
      requestId: this.facts.requestId,
      route: admitted?.route.name,
      account: admitted?.account?.name,
      version: admitted?.version ?? site.table?.routing.version,
      leaseLeftMs: Math.round(site.leaseLeftMs),
      code: error.number,
      reason: error.message,
      sent,
      ...progress,
      ...this.readLeaving(),
      heldMs: Math.round(clock.now() - this.receivedAt),
    });
  }

  /** Reads how much time is left for answers; nothing unless the entry shuts down. */
  private readLeaving(): LogFields {
    const { site } = this.parts;
    return site.isLeaving ? { leavingLeftMs: Math.round(site.leaving.remainingMs) } : {};
  }
}
