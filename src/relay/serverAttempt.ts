import { findCutReason } from '../wire/closeDelimitedEnd';
import { checkAnswerHead, settleAttempt } from './attemptOutcome';
import type { AnswerWriter } from './answerWriter';
import { AttemptTracker } from './attemptTracker';
import type { AttemptOutcome } from './attemptTracker';
import type { PreparedRequest } from './prepareRequest';
import type { RequestFacts } from './requestDialect';
import { computeSilenceMs } from './requestFailover';
import type { RequestLog } from './requestLog';
import type { RequestParts } from './requestParts';
import type { RequestStream } from './requestStream';
import { startInputTimer } from './startInputTimer';
import { UpstreamCall } from './upstreamCall';
import type { UpstreamHead, UpstreamOutcome, UpstreamRequest } from './upstreamCall';
import { applyNotice } from './workerNotices';
import type { PickedWorker } from './pickRequest';

/** The request of which an attempt is made, and what the attempt tells it. */
export interface ServerAttemptParts {
  readonly shared: RequestParts;
  readonly prepared: PreparedRequest;
  readonly picked: PickedWorker;
  readonly facts: RequestFacts;
  readonly writer: AnswerWriter;
  readonly stream: RequestStream;
  readonly log: RequestLog;
  /** Monotonic milliseconds. */
  readonly deadlineAt: number;
  readonly method: string;
  readonly target: string;
  readonly rawHeaders: string[];
  /** Receives the call when it begins, and undefined once it has ended. */
  readonly setCall: (call: UpstreamCall | undefined) => void;
  /** Called when the server begins to answer: no other one is needed. */
  readonly handleAnswer: () => void;
  /** Called when the server does not begin to answer. */
  readonly handleSilence: (call: UpstreamCall) => void;
  /** Reserves another send; returns whether it is certain to be allowed. */
  readonly reserveRetry: () => boolean;
}

/**
 * Makes the tracker of a request at its server, which counts the request as in flight.
 *
 * @example
 * makeAttemptTracker({ shared, prepared, picked, facts, writer }).releaseWorker();
 */
export const makeAttemptTracker = ({
  shared: { site, placeClient, clock }, prepared, picked, facts, writer,
}: Pick<ServerAttemptParts, 'shared' | 'prepared' | 'picked' | 'facts' | 'writer'>): AttemptTracker => (
  new AttemptTracker({
    site, placeClient, clock, picked, writer, facts, isStream: prepared.admitted.route.kind === 'stream',
  }));

/**
 * Sends a request to one backend server and passes its answer on.
 *
 * @example
 * const outcome = await new ServerAttempt(parts).run();
 */
export class ServerAttempt {
  private readonly tracker: AttemptTracker;

  /** Time that the server gets, in milliseconds. */
  private readonly remainingMs: number;

  /** When the server stops its work, monotonic milliseconds. */
  private readonly limitAt: number;

  /** Why the answer's head was refused; undefined if it was not. */
  private headOutcome: AttemptOutcome | undefined;

  constructor(private readonly parts: ServerAttemptParts) {
    const sentAt = parts.shared.clock.now();
    this.remainingMs = Math.max(1, Math.floor(parts.deadlineAt - sentAt));
    this.limitAt = sentAt + this.remainingMs;
    this.tracker = makeAttemptTracker(parts);
  }

  /** Resolves once the attempt is settled. */
  async run(): Promise<AttemptOutcome> {
    const {
      shared: { connections }, prepared, picked: { worker }, log, setCall, handleSilence,
    } = this.parts;
    const { retryPolicy } = prepared;
    const connection = connections.acquire(worker.address);
    this.parts.writer.discardUnsent();
    const call = this.makeCall(connection);
    setCall(call);
    const stopSilenceTimer = startInputTimer(
      () => handleSilence(call),
      computeSilenceMs(prepared.admitted.route),
    );
    const callOutcome = await call.run(this.buildRequest());
    log.call = call.summarize();
    stopSilenceTimer();
    this.tracker.releaseWorker();
    setCall(undefined);
    if (call.isSent) retryPolicy.sendCount += 1;
    if (callOutcome.kind === 'complete') connections.release(connection);
    else connection.end();
    return this.settle(call, callOutcome);
  }

  private makeCall(connection: ConstructorParameters<typeof UpstreamCall>[0]): UpstreamCall {
    const { shared: { site }, picked: { worker }, writer } = this.parts;
    const call: UpstreamCall = new UpstreamCall(connection, {
      isAbandoned: () => writer.isFinished,
      maySend: () => site.maySendTo(worker),
      onHead: (head) => this.acceptHead(head),
      onData: (chunk) => {
        const canWriteMore = writer.write(chunk);
        this.tracker.recordChunk();
        if (!canWriteMore && !call.isPaused) writer.waitDrained(() => call.resume());
        return canWriteMore;
      },
      findCutReason: () => this.findCutReason(connection.wasEndedEarly),
    });
    return call;
  }

  private buildRequest(): UpstreamRequest {
    const {
      shared: { dialect }, prepared: { admitted: { account }, body }, picked, method, target,
      rawHeaders, writer,
    } = this.parts;
    return {
      method,
      path: target,
      headers: dialect.buildRequestHeaders(rawHeaders, {
        workerId: picked.worker.id,
        account,
        remainingMs: this.remainingMs,
        lastEventId: writer.lastEventId,
      }),
      body,
    };
  }

  /** Passes a head on; returns false if the answer is refused. */
  private acceptHead(head: UpstreamHead): boolean {
    const {
      picked, writer, stream, deadlineAt, handleAnswer,
    } = this.parts;
    this.tracker.recordHead();
    this.headOutcome = this.checkHead(head);
    if (this.headOutcome) return false;
    handleAnswer();
    const isContinued = writer.hasStarted;
    writer.writeHead(head);
    if (writer.canResume) stream.recordHead(picked, deadlineAt, isContinued);
    return true;
  }

  private checkHead({ status, headers }: UpstreamHead): AttemptOutcome | undefined {
    const {
      shared, picked, writer: { hasStarted }, facts: { requestId }, reserveRetry,
    } = this.parts;
    const answer = shared.dialect.readAnswer(headers);
    applyNotice(shared, picked.worker, {
      ...answer, status, requestId, sentAt: this.tracker.startedAt,
    });
    return checkAnswerHead({
      status, answer, requestId, hasStarted,
    }, reserveRetry);
  }

  private findCutReason(wasEndedEarly: boolean): Promise<string | undefined> {
    const { shared: { connections, clock }, picked: { worker }, writer } = this.parts;
    // The server has ended its work: the check is no time of it.
    this.tracker.releaseWorker();
    return findCutReason({
      status: writer.statusCode,
      wasEndedEarly,
      isWithinEvent: writer.isWithinEvent,
      isRunning: () => connections.isRunning(worker.address),
      limitAt: this.limitAt,
      clock,
    });
  }

  private async settle(call: UpstreamCall, callOutcome: UpstreamOutcome): Promise<AttemptOutcome> {
    const {
      shared: { site, clock }, prepared, picked: { worker }, writer,
    } = this.parts;
    const { admitted, guard, retryPolicy } = prepared;
    const { headOutcome, tracker } = this;
    const now = clock.now();
    const outcome = settleAttempt({
      worker,
      tracker,
      writer,
      framing: call.framing,
      isDistrusted: site.cutShares.hasManyCuts(admitted.service, now),
      hasExpired: now >= this.limitAt,
      now,
    }, callOutcome, headOutcome);
    // Before any await: a refusal meanwhile depends on whether the request may have run.
    retryPolicy.recordOutcome(outcome);
    if (outcome.kind === 'broken' && !headOutcome && !call.isAborted) await guard.checkForCrash(worker);
    if (outcome.kind === 'answered' || outcome.kind === 'unconfirmed') guard.recordAnswer(writer.statusCode);
    tracker.reportOutcome(outcome.kind);
    return outcome;
  }
}
