import type { IncomingMessage, ServerResponse } from 'node:http';
import { BeechliftError, toBeechliftError } from '../errors/beechliftError';
import {
  learnAnswer, learnPace, noteReached, suspendWorker,
} from '../core/routing/routedWorkers';
import type { RoutedWorker } from '../core/routing/routedWorkers';
import type { PlacedReport } from '../protocol/generated/beechlift';
import type { Route } from '../manifest/routing';
import type { Logger } from '../telemetry/logger';
import type { Clock } from '../utils/clock';
import { admitRequest } from './admitRequest';
import type { AdmittedRequest } from './admitRequest';
import { AnswerWriter } from './answerWriter';
import type { AnswerFlow } from './answerWriter';
import { readRequestBody } from './readRequestBody';
import type { PlaceClient } from './placeClient';
import type { RelayMetrics } from './relayMetrics';
import type { RelaySite } from './relaySite';
import type { AnswerFacts, CallFacts, RequestDialect } from './requestDialect';
import { UpstreamCall } from './upstreamCall';
import type { UpstreamEnd, UpstreamHead } from './upstreamCall';
import type { WorkerConnections } from './workerConnections';
import { NO_TIMES } from './workerPicker';
import type { PickedWorker, WorkerPicker } from './workerPicker';

/** What all requests of an entry share. */
export interface RequestParts {
  readonly site: RelaySite;
  readonly dialect: RequestDialect;
  readonly connections: WorkerConnections;
  readonly picker: WorkerPicker;
  readonly placeClient: PlaceClient;
  readonly clock: Clock;
  readonly logger: Logger;
  readonly metrics: RelayMetrics;
}

/** What came of one attempt. */
type AttemptEnd = | { readonly kind: 'answered' }
  /** Nobody waits for it any more. */
  | { readonly kind: 'dropped'; readonly reason: string }
  /** The server did not run it, or no byte reached it. */
  | { readonly kind: 'unsent' | 'rejected'; readonly reason: string }
  /** It may have run. */
  | { readonly kind: 'broken' | 'failed'; readonly reason: string };

/** Servers that a request is offered to without being run by any, at most. */
const MAX_OFFERS = 4;
/** Longest time that a caller may take for its body, in milliseconds. */
const BODY_MS = 30_000;
/** Time to come back after servers refused, in milliseconds: a slot or two later. */
const MIN_RETRY_MS = 150;
/**
 * How long a request waits for the entry's lease, in milliseconds: an entry that has just started,
 * or whose leader has just died, gets it within a fraction of a second, so most requests that come
 * meanwhile are still answered on time.
 */
const LEASE_WAIT_MS = 350;
/** What the leader hears of each end. */
const PLACED_PHASES: Record<AttemptEnd['kind'], string> = {
  answered: 'ended', dropped: 'dropped', failed: 'failed', broken: 'unreached', rejected: 'rejected', unsent: 'unreached',
};
/** Silence of a server, in target latencies, after which it is taken for unwell. */
const SILENCE_IN_TARGETS = 2.5;
/** Shortest silence that says anything, in milliseconds. */
const MIN_SILENCE_MS = 250;
/** Events of a stream after which the pace of its server is learnt anew. */
const PACE_PIECES = 8;
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

  private readonly tried: string[] = [];

  private sent = 0;

  private offers = 0;

  private deadlineAt = Infinity;

  /** Prompt tokens that the server was still to read when the request was sent there. */
  private pendingBefore = 0;

  private call: UpstreamCall | undefined;

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
    this.writer = new AnswerWriter(response, 'direct', () => parts.clock.now());
  }

  /** Serves the request; never rejects. */
  async run(): Promise<void> {
    this.response.on('close', () => this.noteClosed());
    try {
      await this.serve();
    } catch (thrown) {
      this.refuse(toBeechliftError(thrown));
    }
  }

  private async serve(): Promise<void> {
    const { site, clock } = this.parts;
    const host = this.request.headers.host ?? '';
    if (!site.isServing) await site.waitServing(LEASE_WAIT_MS);
    const admitted = admitRequest(site, this.facts, host, this.target, Math.random());
    this.admitted = admitted;
    const { route } = admitted;
    const patienceMs = Math.min(route.timeoutMs, this.facts.patienceMs ?? Infinity);
    this.deadlineAt = this.receivedAt + patienceMs;
    this.writer = new AnswerWriter(this.response, pickFlow(route), () => clock.now());
    const limits = site.table?.routing.limits;
    const body = await readRequestBody(this.request, limits?.bodyBytes ?? 0, BODY_MS);
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
    });
    if (this.writer.isOver) {
      this.reportPlaced(picked, 'dropped');
      return;
    }
    this.offers += 1;
    this.tried.push(picked.worker.id);
    const end = await this.attempt(admitted, picked, body);
    this.logAttempt(picked, end);
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
    const { connections, dialect, clock } = this.parts;
    const connection = connections.take(worker.address);
    const promptTokens = this.facts.tokens?.prompt ?? 0;
    const startedAt = clock.now();
    let verdict: AttemptEnd | undefined;
    let isPending = true;
    this.writer.dropUnsent();
    const call: UpstreamCall = new UpstreamCall(connection, {
      onHead: (head) => {
        worker.pendingTokens -= isPending ? promptTokens : 0;
        isPending = false;
        verdict = this.judgeHead(admitted, head);
        if (verdict) return false;
        this.writer.writeHead(head);
        return true;
      },
      onData: (chunk) => {
        const isRoomy = this.writer.write(chunk);
        this.notePiece(admitted, picked);
        if (!isRoomy) this.writer.waitDrained(() => call.resume());
        return isRoomy;
      },
    });
    this.call = call;
    this.pendingBefore = worker.pendingTokens + worker.othersPendingTokens;
    worker.inFlight += 1;
    if (picked.placeId !== '') worker.placed += 1;
    worker.pendingTokens += promptTokens;
    const silence = setTimeout(
      () => this.noteSilence(admitted, worker, call),
      Math.max(MIN_SILENCE_MS, SILENCE_IN_TARGETS * admitted.route.targetLatencyMs),
    );
    const end = await call.run({
      method: this.request.method ?? 'GET',
      path: this.target,
      headers: dialect.buildRequestHeaders(this.request.rawHeaders, {
        workerId: worker.id,
        account: admitted.account,
        remainingMs: Math.max(1, Math.floor(this.deadlineAt - clock.now())),
        lastEventId: this.writer.lastEventId,
      }),
      body,
    });
    clearTimeout(silence);
    worker.inFlight -= 1;
    if (picked.epoch !== '' && picked.epoch === this.parts.site.workersEpoch) worker.placed -= 1;
    if (isPending) worker.pendingTokens -= promptTokens;
    this.call = undefined;
    if (call.isSent) this.sent += 1;
    if (end.kind === 'whole') connections.give(connection);
    else connection.end();
    const settled = this.settle(worker, startedAt, end, verdict);
    this.reportPlaced(picked, PLACED_PHASES[settled.kind], startedAt);
    return settled;
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
    startedAt: number,
    end: UpstreamEnd,
    verdict: AttemptEnd | undefined,
  ): AttemptEnd {
    const { site, clock } = this.parts;
    const now = clock.now();
    if (verdict?.kind === 'rejected') {
      suspendWorker(worker, now);
      return verdict;
    }
    if (verdict?.kind === 'failed') {
      this.learn(worker, startedAt, true);
      return verdict;
    }
    if (end.kind === 'whole') {
      noteReached(worker);
      this.writer.end();
      this.learn(worker, startedAt, this.writer.statusCode >= SERVER_ERROR);
      return { kind: 'answered' };
    }
    if (this.writer.isOver) return { kind: 'dropped', reason: 'its time was over, or its caller has gone' };
    suspendWorker(worker, now);
    learnAnswer(site.workers, worker, {
      holdMs: 0, paceMs: 0, firstEvent: undefined, output: undefined, failed: true,
    });
    return end.kind === 'unsent' ? end : verdict ?? end;
  }

  private learn(worker: RoutedWorker, startedAt: number, failed: boolean): void {
    const { site, clock } = this.parts;
    const { firstAt, lastAt, pieces } = this.writer;
    const { tokens } = this.facts;
    const isStream = this.admitted?.route.kind === 'stream';
    const isTimed = isStream && tokens !== undefined && pieces > 0;
    const holdMs = clock.now() - startedAt;
    learnAnswer(site.workers, worker, {
      holdMs,
      paceMs: isStream ? 0 : holdMs,
      firstEvent: isTimed
        ? { ms: firstAt - startedAt, tokens: tokens.prompt + this.pendingBefore }
        : undefined,
      output: isTimed ? { ms: lastAt - firstAt, tokens: tokens.output } : undefined,
      failed,
    });
  }

  /** Learns a server's pace from a stream that runs, each time so many events have come. */
  private notePiece({ route }: AdmittedRequest, picked: PickedWorker): void {
    const { firstAt, lastAt, pieces } = this.writer;
    if (route.kind !== 'stream' || pieces === 0) return;
    const isPaced = pieces % PACE_PIECES === 0;
    const paceMs = isPaced ? (lastAt - firstAt) / (pieces - 1) : 0;
    if (isPaced) learnPace(picked.worker, paceMs);
    if (!isPaced && pieces > 1) return;
    this.tellPlaced(picked, { phase: 'running', ...NO_TIMES, paceMs });
  }

  private tellPlaced({ placeId }: PickedWorker, news: Omit<PlacedReport, 'placeId'>): void {
    if (placeId !== '') this.parts.placeClient.report({ placeId, ...news });
  }

  private reportPlaced(picked: PickedWorker, phase: string, startedAt = 0): void {
    const { firstAt, lastAt, pieces } = this.writer;
    const isTimed = phase === 'ended' && pieces > 0;
    this.tellPlaced(picked, {
      phase,
      paceMs: 0,
      firstEventMs: isTimed ? firstAt - startedAt : 0,
      outputMs: isTimed ? lastAt - firstAt : 0,
    });
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
    if (this.writer.hasBegun && !this.writer.canGoOn) return false;
    if (end.kind === 'unsent') return true;
    const isSafe = end.kind === 'rejected' || this.isRepeatable(route.kind);
    const hasAttempts = end.kind === 'rejected' || this.sent < route.maxAttempts;
    return isSafe && hasAttempts && site.retries.take(service, now);
  }

  private giveUp(end: AttemptEnd): void {
    const wasRun = end.kind === 'broken' || end.kind === 'failed';
    const reason = end.kind === 'answered' ? '' : end.reason;
    if (wasRun) throw new BeechliftError('outcomeUnknown', `no whole answer came: ${reason}`);
    throw new BeechliftError('noBackend', `no backend server took the request: ${reason}`, { retryAfterMs: MIN_RETRY_MS });
  }

  /*
   * Guards against a server that accepts requests and stays silent: others are preferred from now
   * on, and what may be repeated is taken elsewhere at once.
   */
  private noteSilence(admitted: AdmittedRequest, worker: RoutedWorker, call: UpstreamCall): void {
    if (this.writer.hasBegun) return;
    suspendWorker(worker, this.parts.clock.now());
    const { route } = admitted;
    const canRepeat = this.isRepeatable(route.kind) && this.sent + 1 < route.maxAttempts;
    if (canRepeat) call.abort('the backend server is silent');
  }

  private expire(): void {
    if (this.writer.isOver) return;
    this.refuse(new BeechliftError('routeTimeout', 'the answer was not whole when its time was over'));
    this.call?.abort('its time is over');
  }

  /** A caller that has gone is waited for by nobody: its backend server is told by the close. */
  private noteClosed(): void {
    if (this.response.writableFinished) return;
    this.call?.abort('the caller has gone');
  }

  private refuse(error: BeechliftError): void {
    const {
      metrics, logger, site, clock,
    } = this.parts;
    metrics.refusals.inc({ code: error.number });
    logger.info('request refused', {
      requestId: this.facts.requestId,
      route: this.admitted?.route.name,
      account: this.admitted?.account?.name,
      version: this.admitted?.version,
      code: error.number,
      reason: error.message,
      sent: this.sent,
      heldMs: Math.round(clock.now() - this.receivedAt),
    });
    this.writer.fail(error, site.isLeaving);
  }

  private logAttempt({ worker, expectedMs, placeId }: PickedWorker, end: AttemptEnd): void {
    const { metrics, logger, clock } = this.parts;
    const tookMs = clock.now() - this.receivedAt;
    metrics.attempts.inc({ outcome: end.kind });
    const level = end.kind === 'answered' ? 'debug' : 'info';
    logger[level]('attempt ended', {
      requestId: this.facts.requestId,
      route: this.admitted?.route.name,
      worker: worker.id,
      placed: placeId !== '',
      expectedMs: Math.round(expectedMs),
      outcome: end.kind,
      reason: end.kind === 'answered' ? undefined : end.reason,
      status: this.response.statusCode,
      tookMs: Math.round(tookMs),
    });
  }
}
