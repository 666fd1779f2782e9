import type { IncomingMessage, ServerResponse } from 'node:http';
import { BeechliftError, toBeechliftError } from '../errors/beechliftError';
import { noteReached, suspendWorker } from '../core/routing/routedWorkers';
import type { RoutedWorker } from '../core/routing/routedWorkers';
import type { Route } from '../manifest/routing';
import { admitRequest } from './admitRequest';
import type { AdmittedRequest } from './admitRequest';
import { AnswerWriter } from './answerWriter';
import type { AnswerFlow } from './answerWriter';
import { AttemptNotes } from './attemptNotes';
import type { AttemptEnd } from './attemptNotes';
import { computeLeaseWaitMs } from './leaseWait';
import { readRequestBody } from './readRequestBody';
import type { AnswerFacts, CallFacts } from './requestDialect';
import { RequestLog } from './requestLog';
import type { RequestParts } from './requestParts';
import { UpstreamCall } from './upstreamCall';
import type { UpstreamEnd, UpstreamHead, UpstreamRequest } from './upstreamCall';
import type { PickedWorker } from './workerPicker';

/** Servers that a request is offered to without being run by any, at most. */
const MAX_OFFERS = 4;
/** Longest time that a caller may take for its body, in milliseconds. */
const BODY_MS = 30_000;
/** Time to come back after servers refused, in milliseconds: a slot or two later. */
const MIN_RETRY_MS = 150;
/** Silence of a server, in target latencies, after which it is taken for unwell. */
const SILENCE_IN_TARGETS = 2.5;
/** Shortest silence that says anything, in milliseconds. */
const MIN_SILENCE_MS = 250;
const SERVER_ERROR = 500;

const pickFlow = ({ kind, isResumable }: Route): AnswerFlow => {
  if (kind !== 'stream') return 'held';
  return isResumable ? 'framed' : 'direct';
};

/**
 * One request of a caller: admitted, sent to a backend server, and answered once. It is sent again
 * only where nothing can run twice: the server did not run it, or its route says that it may be
 * repeated.
 *
 * @example
 * await new RoutedRequest(parts, request, response).run();
 */
export class RoutedRequest {
  private readonly receivedAt: number;

  private readonly facts: CallFacts;

  private readonly log: RequestLog;

  private readonly tried: string[] = [];

  private sent = 0;

  private offers = 0;

  /** Whether a backend server may have run it. */
  private mayHaveRun = false;

  private deadlineAt = Infinity;

  private call: UpstreamCall | undefined;

  /** Takes it back while it waits for a place, so that others get the slot it would have had. */
  private cancelPick: (() => void) | undefined;

  private writer: AnswerWriter;

  private admitted: AdmittedRequest | undefined;

  constructor(
    private readonly parts: RequestParts,
    private readonly request: IncomingMessage,
    private readonly response: ServerResponse,
    private readonly target: string,
  ) {
    this.receivedAt = parts.clock.now();
    this.facts = parts.dialect.readCall(request.rawHeaders);
    this.log = new RequestLog(parts, this.facts.requestId, this.receivedAt);
    this.writer = new AnswerWriter(response, 'direct', () => parts.clock.now());
  }

  /** Serves the request; never rejects. */
  async run(): Promise<void> {
    this.response.on('close', () => this.noteClosed());
    try {
      await this.serve();
    } catch (thrown) {
      this.refuse(this.judgeRefusal(toBeechliftError(thrown)));
    }
  }

  private async serve(): Promise<void> {
    const { site, clock } = this.parts;
    const host = this.request.headers.host ?? '';
    const { leaseWait } = site.workers.mechanisms;
    if (leaseWait && !site.isServing) await site.waitServing(computeLeaseWaitMs(this.facts));
    const admitted = admitRequest(site, this.facts, host, this.target, Math.random());
    this.admitted = admitted;
    const { route } = admitted;
    const patienceMs = Math.min(route.timeoutMs, this.facts.patienceMs ?? Infinity);
    this.deadlineAt = this.receivedAt + patienceMs;
    this.writer = new AnswerWriter(this.response, pickFlow(route), () => clock.now());
    const limits = site.table?.routing.limits;
    const body = await readRequestBody(this.request, limits?.bodyBytes ?? 0, BODY_MS);
    this.log.content = {
      method: this.request.method ?? 'GET', host, target: this.target, account: admitted.account?.name ?? '', body,
    };
    site.retries.noteRequest(admitted.service, clock.now());
    const timer = setTimeout(() => this.expire(), this.deadlineAt - clock.now());
    try {
      await this.offer(admitted, body);
    } finally {
      clearTimeout(timer);
    }
  }

  /** Offers the request to one server after another, until it is answered or given up. */
  private async offer(admitted: AdmittedRequest, body: Buffer): Promise<void> {
    const picked = await this.parts.picker.pick({
      admitted,
      facts: this.facts,
      deadlineAt: this.deadlineAt,
      tried: [...this.tried],
      isOver: () => this.writer.isOver,
      noteWaiting: (cancel) => {
        this.cancelPick = cancel;
      },
    });
    if (!picked) return;
    if (this.writer.isOver) {
      this.dropPicked(admitted, picked);
      return;
    }
    this.offers += 1;
    this.tried.push(picked.worker.id);
    const end = await this.attempt(admitted, picked, body);
    this.log.noteAttempt(admitted, picked, end, this.writer);
    this.mayHaveRun ||= end.kind === 'broken' || end.kind === 'failed';
    if (end.kind === 'answered' || this.writer.isOver) return;
    if (!this.maySendAgain(admitted, end)) {
      this.giveUp(end);
      return;
    }
    this.parts.metrics.repeats.inc({ reason: end.kind });
    await this.offer(admitted, body);
  }

  private async attempt(
    admitted: AdmittedRequest,
    picked: PickedWorker,
    body: Buffer,
  ): Promise<AttemptEnd> {
    const { worker } = picked;
    const { connections } = this.parts;
    const connection = connections.take(worker.address);
    const notes = this.makeNotes(admitted, picked);
    let verdict: AttemptEnd | undefined;
    this.writer.dropUnsent();
    const call: UpstreamCall = new UpstreamCall(connection, {
      onHead: (head) => {
        notes.noteHead();
        verdict = this.judgeHead(admitted, head);
        if (verdict) return false;
        this.writer.writeHead(head);
        return true;
      },
      onData: (chunk) => {
        const isRoomy = this.writer.write(chunk);
        notes.notePiece();
        if (!isRoomy) this.writer.waitDrained(() => call.resume());
        return isRoomy;
      },
    });
    this.call = call;
    const silence = setTimeout(
      () => this.noteSilence(admitted, worker, call),
      Math.max(MIN_SILENCE_MS, SILENCE_IN_TARGETS * admitted.route.targetLatencyMs),
    );
    const end = await call.run(this.buildUpstreamRequest(admitted, worker, body));
    clearTimeout(silence);
    notes.noteOver();
    this.call = undefined;
    if (call.isSent) this.sent += 1;
    if (end.kind === 'whole') connections.give(connection);
    else connection.end();
    const settled = this.settle(worker, notes, end, verdict);
    notes.noteEnd(settled.kind);
    return settled;
  }

  private makeNotes({ route }: AdmittedRequest, picked: PickedWorker): AttemptNotes {
    const { site, placeClient, clock } = this.parts;
    const { writer, facts } = this;
    return new AttemptNotes({
      site, placeClient, clock, picked, writer, facts, isStream: route.kind === 'stream',
    });
  }

  /** Gives a place back that came when nobody waited for it any more. */
  private dropPicked(admitted: AdmittedRequest, picked: PickedWorker): void {
    const notes = this.makeNotes(admitted, picked);
    notes.noteOver();
    notes.noteEnd('dropped');
  }

  private buildUpstreamRequest(
    { account }: AdmittedRequest,
    worker: RoutedWorker,
    body: Buffer,
  ): UpstreamRequest {
    const { dialect, clock } = this.parts;
    return {
      method: this.request.method ?? 'GET',
      path: this.target,
      headers: dialect.buildRequestHeaders(this.request.rawHeaders, {
        workerId: worker.id,
        account,
        remainingMs: Math.max(1, Math.floor(this.deadlineAt - clock.now())),
        lastEventId: this.writer.lastEventId,
      }),
      body,
    };
  }

  /** Tells what is wrong with a head; undefined for one that is passed on. */
  private judgeHead(
    { route, service }: AdmittedRequest,
    { status, headers }: UpstreamHead,
  ): AttemptEnd | undefined {
    const answer: AnswerFacts = this.parts.dialect.readAnswer(headers);
    if (answer.isNotExecuted) return { kind: 'rejected', reason: `status ${status}, not executed` };
    if (answer.requestId !== this.facts.requestId || answer.isEncoded) {
      return { kind: 'broken', reason: 'the answer belongs to another request' };
    }
    if (status < SERVER_ERROR) return this.judgeResumed(status);
    const end: AttemptEnd = { kind: 'failed', reason: `status ${status}` };
    const repeats = route.maxAttempts > this.sent + 1
      && this.isRepeatable(route.kind)
      && this.parts.picker.hasChoice(service);
    return repeats || this.writer.hasBegun ? end : undefined;
  }

  /** A stream that goes on elsewhere can only go on with a success. */
  private judgeResumed(status: number): AttemptEnd | undefined {
    if (!this.writer.hasBegun || status === 200) return undefined;
    return { kind: 'failed', reason: `status ${status} in place of the rest of a stream` };
  }

  private settle(
    worker: RoutedWorker,
    notes: AttemptNotes,
    end: UpstreamEnd,
    verdict: AttemptEnd | undefined,
  ): AttemptEnd {
    const now = this.parts.clock.now();
    if (verdict?.kind === 'rejected') {
      suspendWorker(worker, now);
      return verdict;
    }
    if (verdict?.kind === 'failed') {
      notes.learn(true);
      return verdict;
    }
    if (end.kind === 'whole') {
      noteReached(worker);
      this.writer.end();
      notes.learn(this.writer.statusCode >= SERVER_ERROR);
      return { kind: 'answered' };
    }
    if (this.writer.isOver) return { kind: 'dropped', reason: 'its time was over, or its caller has gone' };
    suspendWorker(worker, now);
    notes.learnSilence();
    return end.kind === 'unsent' ? end : verdict ?? end;
  }

  private isRepeatable(kind: AdmittedRequest['route']['kind']): boolean {
    const isResumable = this.admitted?.route.isResumable ?? false;
    return kind === 'idempotent' || (kind === 'stream' && isResumable);
  }

  /*
   * Guards against running twice what may run once: after a byte was sent, only a server that says
   * that it did not run the request, or a route that may be repeated, allows another send.
   */
  private maySendAgain({ route, service }: AdmittedRequest, end: AttemptEnd): boolean {
    const { site, clock } = this.parts;
    const now = clock.now();
    if (now >= this.deadlineAt || this.offers >= MAX_OFFERS) return false;
    // What another server answers must not be put behind what the caller has of the first answer.
    const canGoOn = this.writer.canGoOn && site.workers.mechanisms.resumption;
    if (this.writer.hasBegun && !canGoOn) return false;
    if (end.kind === 'unsent') return true;
    const isSafe = end.kind === 'rejected' || this.isRepeatable(route.kind);
    const hasAttempts = end.kind === 'rejected' || this.sent < route.maxAttempts;
    return isSafe && hasAttempts && site.retries.take(service, now);
  }

  /*
   * Guards a promise: a refusal says that the request has not run, and its caller may rely on that.
   * One that was sent to a server before, and found none for its second try, may have run.
   */
  private judgeRefusal(error: BeechliftError): BeechliftError {
    if (!this.mayHaveRun || error.run !== 'notRun') return error;
    return new BeechliftError('outcomeUnknown', `a first try may have run, and then: ${error.message}`);
  }

  private giveUp(end: AttemptEnd): void {
    const reason = end.kind === 'answered' ? '' : end.reason;
    if (this.mayHaveRun) throw new BeechliftError('outcomeUnknown', `no whole answer came: ${reason}`);
    throw new BeechliftError('noBackend', `no backend server took the request: ${reason}`, { retryAfterMs: MIN_RETRY_MS });
  }

  /*
   * Guards against a server that accepts requests and stays silent: others are preferred from now
   * on, and what may be repeated is taken elsewhere at once.
   */
  private noteSilence(admitted: AdmittedRequest, worker: RoutedWorker, call: UpstreamCall): void {
    if (this.writer.hasBegun || !this.parts.site.workers.mechanisms.silence) return;
    suspendWorker(worker, this.parts.clock.now());
    const { route } = admitted;
    const canRepeat = this.isRepeatable(route.kind) && this.sent + 1 < route.maxAttempts;
    if (canRepeat) call.abort('the backend server is silent');
  }

  private expire(): void {
    if (this.writer.isOver) return;
    this.refuse(new BeechliftError('routeTimeout', 'the answer was not whole when its time was over'));
    this.call?.abort('its time is over');
    this.cancelPick?.();
  }

  /** A caller that has gone is waited for by nobody: its backend server is told by the close. */
  private noteClosed(): void {
    if (this.response.writableFinished) return;
    this.call?.abort('the caller has gone');
    this.cancelPick?.();
  }

  private refuse(error: BeechliftError): void {
    this.log.noteRefusal(error, this.admitted, this.sent);
    this.writer.fail(error, this.parts.site.isLeaving);
  }
}
