import type { IncomingMessage, ServerResponse } from 'node:http';
import { BeechliftError, toBeechliftError } from '../errors/beechliftError';
import { suspendWorker } from '../core/routing/routedWorkers';
import type { RoutedWorker } from '../core/routing/routedWorkers';
import { admitRequest } from './admitRequest';
import type { AdmittedRequest } from './admitRequest';
import { AnswerWriter, pickFlow } from './answerWriter';
import type { AnswerFlow } from './answerWriter';
import { AttemptNotes } from './attemptNotes';
import type { AttemptEnd } from './attemptNotes';
import { judgeAnswer, settleAttempt } from './attemptVerdict';
import { computeLeaseWaitMs } from './leaseWait';
import { canAnswerInTime, makeLeavingError } from './leavingEntry';
import type { OpenRequest } from './openRequests';
import { readRequestBody } from './readRequestBody';
import type { AnswerFacts, CallFacts } from './requestDialect';
import { RepeatRules } from './repeatRules';
import { RequestGuard } from './requestGuard';
import { RequestLog } from './requestLog';
import type { RequestParts } from './requestParts';
import { computeSilenceMs, ServerMove } from './serverMove';
import { UpstreamCall } from './upstreamCall';
import type { UpstreamHead, UpstreamRequest } from './upstreamCall';
import { noteNotices } from './workerNotices';
import type { PickedWorker } from './workerPicker';

/** A request that is admitted and read, and what is decided by. */
interface OfferedRequest {
  readonly admitted: AdmittedRequest;
  readonly body: Buffer;
  readonly guard: RequestGuard;
  readonly rules: RepeatRules;
}

/**
 * One request of a caller: admitted, sent to a backend server, and answered once. It is sent again
 * only where nothing can run twice: the server did not run it, or its route says that it may be
 * repeated.
 *
 * @example
 * await new RoutedRequest(parts, request, response, target, isNewest).run();
 */
export class RoutedRequest implements OpenRequest {
  private readonly receivedAt: number;

  private readonly facts: CallFacts;

  private readonly log: RequestLog;

  private readonly tried: string[] = [];

  private deadlineAt = Infinity;

  private call: UpstreamCall | undefined;

  /** Takes it back while it waits for a place, so that others get the slot it would have had. */
  private cancelPick: (() => void) | undefined;

  private readonly move = new ServerMove();

  private writer: AnswerWriter;

  private admitted: AdmittedRequest | undefined;

  /** Known once the request is admitted and read. */
  private rules: RepeatRules | undefined;

  constructor(
    private readonly parts: RequestParts,
    private readonly request: IncomingMessage,
    private readonly response: ServerResponse,
    private readonly target: string,
    /** Whether the caller has written nothing behind it on its connection. */
    private readonly isNewest: () => boolean,
  ) {
    this.receivedAt = parts.clock.now();
    this.facts = parts.dialect.readCall(request.rawHeaders);
    this.log = new RequestLog(parts, this.facts.requestId, this.receivedAt);
    this.writer = this.makeWriter('direct');
  }

  /** Serves the request; never rejects. */
  async run(): Promise<void> {
    this.response.on('close', () => this.noteClosed());
    try {
      await this.serve();
    } catch (thrown) {
      const error = toBeechliftError(thrown);
      this.refuse(this.rules?.judgeRefusal(error) ?? error);
    }
  }

  /** Answers finally, unless the caller has the beginning of an answer. */
  endWithEntry(): void {
    if (this.writer.hasBegun) return;
    this.giveUp(makeLeavingError(), 'the entry ends');
  }

  /** Ends an answer that has begun and is not whole. */
  breakOff(): void {
    if (this.response.writableEnded) return;
    this.writer.breakOff();
  }

  private makeWriter(flow: AnswerFlow): AnswerWriter {
    const { site, clock } = this.parts;
    // A request behind it may run already: its answer closes the connection.
    const isClosing = (): boolean => site.isLeaving && this.isNewest();
    return new AnswerWriter(this.response, flow, () => clock.now(), isClosing);
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
    this.writer = this.makeWriter(pickFlow(route));
    const limits = site.table?.routing.limits;
    const body = await readRequestBody(this.request, limits?.bodyBytes ?? 0);
    const guard = this.makeGuard(host, admitted, body);
    this.log.identity = guard;
    guard.check();
    const rules = new RepeatRules(this.parts, admitted, guard);
    this.rules = rules;
    if (!canAnswerInTime(site, admitted, this.facts)) throw makeLeavingError();
    site.retries.noteRequest(admitted.service, clock.now());
    const timer = setTimeout(() => this.expire(), this.deadlineAt - clock.now());
    try {
      await this.offer({
        admitted, body, guard, rules,
      });
    } finally {
      clearTimeout(timer);
      await this.dropMove(admitted);
      rules.refundRepeat();
    }
  }

  private makeGuard(host: string, { account }: AdmittedRequest, body: Buffer): RequestGuard {
    const { request: { method = 'GET' }, target } = this;
    return new RequestGuard(this.parts, {
      method, host, target, account: account?.name ?? '', body,
    });
  }

  /** Offers the request to one server after another, until it is answered or given up. */
  private async offer(offered: OfferedRequest): Promise<void> {
    const { admitted, rules } = offered;
    const picked = await this.move.take() ?? await this.pickWorker(offered);
    if (!picked) return;
    if (this.writer.isOver) {
      this.dropPicked(admitted, picked);
      return;
    }
    if (!this.writer.hasBegun && !canAnswerInTime(this.parts.site, admitted, this.facts, picked)) {
      this.dropPicked(admitted, picked);
      throw makeLeavingError();
    }
    rules.noteOffer();
    this.tried.push(picked.worker.id);
    const end = await this.attempt(offered, picked);
    this.log.noteAttempt(admitted, picked, end, this.writer);
    if (end.kind === 'answered' || this.writer.isOver) return;
    if (!rules.maySendAgain(end, this.writer, this.deadlineAt)) {
      throw rules.makeFailure(end.reason);
    }
    this.parts.metrics.repeats.inc({ reason: end.kind });
    await this.offer(offered);
  }

  private async pickWorker(
    { admitted, guard }: OfferedRequest,
    isSettled = (): boolean => false,
  ): Promise<PickedWorker | undefined> {
    if (this.writer.isOver) return undefined;
    return this.parts.picker.pick({
      admitted,
      facts: this.facts,
      deadlineAt: this.deadlineAt,
      tried: [...this.tried],
      guard,
      isOver: () => this.writer.isOver || isSettled(),
      noteWaiting: (cancel) => {
        this.cancelPick = cancel;
      },
    });
  }

  private async attempt(offered: OfferedRequest, picked: PickedWorker): Promise<AttemptEnd> {
    const {
      admitted, body, guard, rules,
    } = offered;
    const { worker } = picked;
    const { connections } = this.parts;
    const connection = connections.take(worker.address);
    const notes = this.makeNotes(admitted, picked);
    let verdict: AttemptEnd | undefined;
    this.writer.dropUnsent();
    const call: UpstreamCall = new UpstreamCall(connection, {
      onHead: (head) => {
        notes.noteHead();
        verdict = this.judgeHead(offered, worker, head);
        if (verdict) return false;
        this.cancelPick?.();
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
      () => this.noteSilence(offered, worker, call),
      computeSilenceMs(admitted.route),
    );
    const end = await call.run(this.buildUpstreamRequest(admitted, worker, body));
    clearTimeout(silence);
    notes.noteOver();
    this.call = undefined;
    if (call.isSent) rules.sent += 1;
    if (end.kind === 'whole') connections.give(connection);
    else connection.end();
    const settled = settleAttempt({
      worker, notes, writer: this.writer, now: this.parts.clock.now(),
    }, end, verdict);
    // Before any wait, in which the request may be given up.
    rules.noteAttempt(settled);
    if (settled.kind === 'broken' && !verdict && !call.isAborted) await guard.noteBroken(worker);
    if (settled.kind === 'answered') guard.noteAnswered(this.writer.statusCode);
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
    offered: OfferedRequest,
    worker: RoutedWorker,
    { status, headers }: UpstreamHead,
  ): AttemptEnd | undefined {
    const answer: AnswerFacts = this.parts.dialect.readAnswer(headers);
    const { requestId } = this.facts;
    noteNotices(this.parts, worker, { ...answer, status, requestId });
    const { hasBegun } = this.writer;
    return judgeAnswer({
      status, answer, requestId, hasBegun,
    }, () => this.holdRepeat(offered));
  }

  /*
   * Guards against a server that accepts requests and stays silent: others are preferred from now
   * on, and what may be repeated goes to another one as soon as that has a place for it. Until
   * then the server may still answer: its silence alone ends no request.
   */
  private noteSilence(offered: OfferedRequest, worker: RoutedWorker, call: UpstreamCall): void {
    const isSilent = !this.writer.hasBegun && !call.isAnswering;
    if (!isSilent || !this.parts.site.workers.mechanisms.silence) return;
    suspendWorker(worker, this.parts.clock.now());
    if (!this.holdRepeat(offered)) return;
    this.move.begin(call, {
      log: this.log,
      pickWorker: (isSettled) => this.pickWorker(offered, isSettled),
      dropPicked: (picked) => this.dropPicked(offered.admitted, picked),
      holdRepeat: (picked) => this.holdRepeat(offered, picked),
      isAt: (other) => this.call === other,
      isOver: () => this.writer.isOver,
      wasAt: (workerId) => this.tried.includes(workerId),
    });
  }

  /** Whether one that is at a server now is certain to be sent to another, if it is given up. */
  private holdRepeat({ admitted, rules }: OfferedRequest, picked?: PickedWorker): boolean {
    return canAnswerInTime(this.parts.site, admitted, this.facts, picked)
      && rules.holdRepeat(this.deadlineAt);
  }

  private async dropMove(admitted: AdmittedRequest): Promise<void> {
    this.cancelPick?.();
    const picked = await this.move.take();
    if (picked) this.dropPicked(admitted, picked);
  }

  private expire(): void {
    const error = new BeechliftError('routeTimeout', 'the answer was not whole when its time was over');
    this.giveUp(error, 'its time is over');
  }

  private giveUp(error: BeechliftError, reason: string): void {
    if (this.writer.isOver) return;
    if (this.call?.isSent) this.rules?.noteAttempt({ kind: 'broken', reason });
    this.refuse(this.rules?.judgeRefusal(error) ?? error);
    this.call?.abort(reason);
    this.cancelPick?.();
  }

  /** A caller that has gone is waited for by nobody: its backend server is told by the close. */
  private noteClosed(): void {
    if (this.response.writableFinished) return;
    this.call?.abort('the caller has gone');
    this.cancelPick?.();
  }

  private refuse(error: BeechliftError): void {
    this.log.noteRefusal(error, this.admitted, this.rules?.sent ?? 0);
    this.writer.fail(error);
  }
}
