import type { IncomingMessage, ServerResponse } from 'node:http';
import { toBeechliftError } from '../errors/beechliftError';
import type { BeechliftError } from '../errors/beechliftError';
import { suspendWorker } from '../core/routing/routedWorkers';
import type { RoutedWorker } from '../core/routing/routedWorkers';
import { admitRequest } from './admitRequest';
import type { AdmittedRequest } from './admitRequest';
import { AnswerWriter, pickAnswerMode } from './answerWriter';
import type { AnswerMode } from './answerWriter';
import type { AttemptOutcome } from './attemptTracker';
import { drawTargetShare } from './drawTargetShare';
import { computeLeaseWaitMs } from './leaseWait';
import { canAnswerInTime, makeLeavingError } from './leavingEntry';
import type { OpenRequest, RefusalScope } from './openRequests';
import { prepareRequest, beginBody } from './prepareRequest';
import type { PreparedRequest } from './prepareRequest';
import type { RequestFacts } from './requestDialect';
import type { RetryPolicy } from './retryPolicy';
import { RequestLog } from './requestLog';
import type { RequestParts } from './requestParts';
import { RequestStream } from './requestStream';
import { RequestFailover } from './requestFailover';
import { makeAttemptTracker, ServerAttempt } from './serverAttempt';
import { startInputTimer } from './startInputTimer';
import type { UpstreamCall } from './upstreamCall';
import type { PickedWorker } from './pickRequest';

/**
 * Longest wait for the proof that a stream is complete, in milliseconds: callers abandon a stream
 * that is silent for two seconds.
 */
const PROOF_TIMEOUT_MS = 1_000;

/**
 * Admits a request, sends it to a backend server and answers it once. Sends it to another server
 * only if it cannot run twice by mistake: the first did not run it, or its route allows repeats.
 *
 * @example
 * await new RoutedRequest(parts, request, response, target, isNewest).run();
 */
export class RoutedRequest implements OpenRequest {
  private readonly receivedAt: number;

  private readonly facts: RequestFacts;

  private readonly log: RequestLog;

  private readonly tried: string[] = [];

  /** Read from the start: chunks that wait to be read take far more memory than their bytes. */
  private readonly body: Promise<Buffer>;

  private deadlineAt = Infinity;

  private call: UpstreamCall | undefined;

  /** Cancels the wait for a slot, so that other requests can get the slot. */
  private cancelPick: (() => void) | undefined;

  private readonly failover = new RequestFailover();

  private writer: AnswerWriter;

  private readonly stream: RequestStream;

  private admitted: AdmittedRequest | undefined;

  /** Set once the request is admitted and its body is read. */
  private retryPolicy: RetryPolicy | undefined;

  constructor(
    private readonly parts: RequestParts,
    private readonly request: IncomingMessage,
    private readonly response: ServerResponse,
    private readonly target: string,
    /** Returns whether this is the latest request on its connection. */
    private readonly isNewest: () => boolean,
  ) {
    this.receivedAt = parts.clock.now();
    this.body = beginBody(parts, request, response);
    this.facts = parts.dialect.readRequest(request.rawHeaders);
    this.log = new RequestLog(parts, this.facts, this.receivedAt);
    this.stream = new RequestStream(parts, this.facts);
    this.writer = this.makeWriter('direct');
  }

  /** Serves the request; never rejects. */
  async run(): Promise<void> {
    this.response.on('close', () => this.handleClose());
    try {
      await this.serve();
    } catch (thrown) {
      const error = toBeechliftError(thrown);
      this.refuse(this.retryPolicy?.adjustRefusal(error) ?? error);
    }
  }

  /** Refuses the request because the entry shuts down, unless an answer has started. */
  refuseForShutdown(scope: RefusalScope): void {
    const isAtServer = this.call?.isSent ?? false;
    if (this.writer.hasStarted || (scope === 'unsent' && isAtServer)) return;
    this.giveUp(makeLeavingError(), 'the entry shuts down');
  }

  /** Aborts an answer that has started and is incomplete. */
  abortAnswer(): void {
    if (this.response.writableFinished) return;
    if (this.writer.isPresumedComplete) {
      this.refuse(makeLeavingError());
      return;
    }
    this.log.logAbort(makeLeavingError(), this.admitted, this.countSends(), this.writer);
    this.writer.abort();
  }

  private makeWriter(mode: AnswerMode): AnswerWriter {
    const { site, clock } = this.parts;
    // Only the answer to the latest request may close the connection: an earlier one would leave
    // the requests that wait behind it without an answer.
    const isClosing = (): boolean => site.isLeaving && this.isNewest();
    return new AnswerWriter(this.response, mode, () => clock.now(), isClosing);
  }

  private async serve(): Promise<void> {
    const { site, clock } = this.parts;
    const host = this.request.headers.host ?? '';
    const { leaseWait } = site.workers.mechanisms;
    if (leaseWait && !site.isServing) await site.waitServing(computeLeaseWaitMs(this.facts));
    const admitted = admitRequest(site, this.facts, host, this.target, drawTargetShare(this.facts));
    this.admitted = admitted;
    const { route } = admitted;
    const maxWaitMs = Math.min(route.timeoutMs, this.facts.maxWaitMs ?? Infinity);
    this.deadlineAt = this.receivedAt + maxWaitMs;
    this.writer = this.makeWriter(pickAnswerMode(route));
    const prepared = await prepareRequest(
      this.parts,
      { request: this.request, received: this.body },
      this.target,
      admitted,
      this.facts,
    );
    const { guard, retryPolicy } = prepared;
    this.log.identity = guard;
    guard.check();
    this.retryPolicy = retryPolicy;
    if (!canAnswerInTime(site, admitted, this.facts)) throw makeLeavingError();
    site.retries.recordRequest(admitted.service, clock.now());
    const remainingMs = this.deadlineAt - clock.now();
    const stopTimer = startInputTimer(() => this.expire(retryPolicy), remainingMs);
    try {
      await this.tryServers(prepared);
    } finally {
      stopTimer();
      await this.cancelFailover(prepared);
      retryPolicy.releaseRetry();
    }
  }

  /** Tries one server after another until the request is answered or refused. */
  private async tryServers(prepared: PreparedRequest): Promise<void> {
    const { admitted, retryPolicy } = prepared;
    const picked = await this.failover.takeWorker() ?? await this.pickWorker(prepared);
    if (!picked) return;
    if (this.writer.isFinished) {
      this.releasePicked(prepared, picked);
      return;
    }
    if (!this.writer.hasStarted
      && !canAnswerInTime(this.parts.site, admitted, this.facts, picked)) {
      this.releasePicked(prepared, picked);
      throw makeLeavingError();
    }
    this.checkQuarantine(prepared, picked);
    retryPolicy.countTry();
    this.stream.adoptOrigin(picked);
    this.tried.push(picked.worker.id);
    const { isPresumedComplete, chunkCount } = this.writer;
    const outcome = await this.attempt(prepared, picked);
    if (isPresumedComplete) this.recordProof(admitted, outcome, chunkCount);
    this.log.logAttempt(admitted, picked, outcome, this.writer);
    if (outcome.kind === 'answered' || this.writer.isFinished) return;
    if (outcome.kind === 'unconfirmed') this.startProofTimer(retryPolicy);
    if (!retryPolicy.mayRetry(outcome, this.writer, this.deadlineAt)) {
      throw retryPolicy.makeFailure(outcome.reason);
    }
    this.parts.metrics.repeats.inc({ reason: outcome.kind });
    await this.tryServers(prepared);
  }

  /** Records whether a stream that seemed complete was cut off, if its second server told. */
  private recordProof(
    { service }: AdmittedRequest,
    outcome: AttemptOutcome,
    countBefore: number,
  ): void {
    const { site, clock } = this.parts;
    const wasCut = this.writer.chunkCount > countBefore;
    if (wasCut || outcome.kind === 'answered') site.cutShares.record(service, wasCut, clock.now());
  }

  /** Limits the time in which another server may prove that a stream is complete. */
  private startProofTimer(retryPolicy: RetryPolicy): void {
    const timer = setTimeout(() => {
      if (!this.writer.isPresumedComplete) return;
      this.giveUp(retryPolicy.makeFailure('no server proved the end of the stream in time'), 'its caller has waited long enough');
    }, PROOF_TIMEOUT_MS);
    this.response.once('close', () => clearTimeout(timer));
  }

  /** Throws if the request was quarantined while it waited for its slot, which is released. */
  private checkQuarantine(prepared: PreparedRequest, picked: PickedWorker): void {
    try {
      prepared.guard.check();
    } catch (thrown) {
      this.releasePicked(prepared, picked);
      throw thrown;
    }
  }

  private async pickWorker(
    { admitted, guard }: PreparedRequest,
    isUnneeded = (): boolean => false,
  ): Promise<PickedWorker | undefined> {
    if (this.writer.isFinished) return undefined;
    return this.parts.picker.pick({
      admitted,
      facts: this.facts,
      deadlineAt: this.deadlineAt,
      tried: [...this.tried],
      origin: this.stream.origin,
      guard,
      isAbandoned: () => this.writer.isFinished || isUnneeded(),
      onWaiting: (cancel) => {
        this.cancelPick = cancel;
      },
    });
  }

  private attempt(prepared: PreparedRequest, picked: PickedWorker): Promise<AttemptOutcome> {
    const {
      parts, facts, writer, stream, log, deadlineAt, target, request: { method = 'GET', rawHeaders },
    } = this;
    return new ServerAttempt({
      shared: parts,
      prepared,
      picked,
      facts,
      writer,
      stream,
      log,
      deadlineAt,
      method,
      target,
      rawHeaders,
      setCall: (call) => {
        this.call = call;
      },
      handleAnswer: () => this.cancelPick?.(),
      handleSilence: (call) => this.handleSilence(prepared, picked.worker, call),
      reserveRetry: () => this.reserveRetry(prepared),
    }).run();
  }

  /** Releases a slot that was granted after the request no longer needed it. */
  private releasePicked(prepared: PreparedRequest, picked: PickedWorker): void {
    const { parts: shared, facts, writer } = this;
    const tracker = makeAttemptTracker({
      shared, prepared, picked, facts, writer,
    });
    tracker.releaseWorker();
    tracker.reportUnused();
  }

  /*
   * Handles a server that accepts requests and does not answer. From now on the entry prefers other
   * servers. A request that may be repeated moves to another server as soon as that one has a free
   * slot. Until then the first server may still answer, so silence alone does not end the request.
   */
  private handleSilence(prepared: PreparedRequest, worker: RoutedWorker, call: UpstreamCall): void {
    const isSilent = !this.writer.hasStarted && !call.hasAnswerHead;
    if (!isSilent || !this.parts.site.workers.mechanisms.silence) return;
    suspendWorker(worker, this.parts.clock.now());
    this.parts.reportSilence(worker.address);
    if (!this.reserveRetry(prepared)) return;
    this.failover.start(call, {
      log: this.log,
      pickWorker: (isUnneeded) => this.pickWorker(prepared, isUnneeded),
      releasePicked: (picked) => this.releasePicked(prepared, picked),
      reserveRetry: (picked) => this.reserveRetry(prepared, picked),
      isCurrentCall: (other) => this.call === other,
      isFinished: () => this.writer.isFinished,
      wasTried: (workerId) => this.tried.includes(workerId),
    });
  }

  /** Reserves another send; returns whether it is certain to be allowed if this one is aborted. */
  private reserveRetry({ admitted, retryPolicy }: PreparedRequest, picked?: PickedWorker): boolean {
    return canAnswerInTime(this.parts.site, admitted, this.facts, picked)
      && retryPolicy.reserveRetry(this.deadlineAt, this.stream.origin);
  }

  private async cancelFailover(prepared: PreparedRequest): Promise<void> {
    this.cancelPick?.();
    const picked = await this.failover.takeWorker();
    if (picked) this.releasePicked(prepared, picked);
  }

  private expire(retryPolicy: RetryPolicy): void {
    const error = retryPolicy.makeTimeoutError(this.call?.isSent ?? false);
    this.giveUp(error, 'the deadline of the request has passed');
  }

  private giveUp(error: BeechliftError, reason: string): void {
    // An answer that has ended is only being confirmed.
    if (this.writer.isFinished || this.call?.hasAnswerEnd) return;
    if (this.call?.isSent) this.retryPolicy?.recordOutcome({ kind: 'broken', reason });
    this.refuse(this.retryPolicy?.adjustRefusal(error) ?? error);
    this.call?.abort(reason);
    this.cancelPick?.();
  }

  /** Aborts the call of a caller that disconnected, which cancels it at the backend server. */
  private handleClose(): void {
    if (this.response.writableFinished) return;
    this.call?.abort('the caller disconnected');
    this.cancelPick?.();
  }

  private refuse(error: BeechliftError): void {
    if (this.writer.isPresumedComplete) {
      this.log.logUnprovedEnd(error);
      this.writer.end();
      return;
    }
    const sent = this.countSends();
    if (this.writer.hasStarted) this.log.logAbort(error, this.admitted, sent, this.writer);
    else this.log.logRefusal(error, this.admitted, sent);
    this.writer.fail(error);
  }

  /** Counts the sends of the request, with the one that is in progress. */
  private countSends(): number {
    return (this.retryPolicy?.sendCount ?? 0) + (this.call?.isSent ? 1 : 0);
  }
}
