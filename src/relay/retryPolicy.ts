import { isResumableStream } from '../core/routing/routeTable';
import type { StreamOrigin } from '../core/routing/streamOrigin';
import { BeechliftError } from '../errors/beechliftError';
import type { AdmittedRequest } from './admitRequest';
import type { AnswerWriter } from './answerWriter';
import type { AttemptOutcome } from './attemptTracker';
import type { RequestGuard } from './requestGuard';
import type { RequestParts } from './requestParts';

/** Most servers that are tried for one request. */
const MAX_TRIES = 4;
/** Retry-After once all tried servers refused, in milliseconds: a slot or two is free by then. */
const REFUSED_RETRY_MS = 150;
/** Retry-After of a request that reached no server until its deadline, in milliseconds. */
const UNSENT_RETRY_MS = 500;

/**
 * Decides whether a request may be sent to another server, and which error answers it if not. A
 * request is sent again only if it may run twice or has certainly not run, and if it is not
 * suspected of crashing servers.
 *
 * @example
 * retryPolicy.recordOutcome(outcome);
 * if (!retryPolicy.mayRetry(outcome, writer, deadlineAt)) {
 *   throw retryPolicy.makeFailure(outcome.reason);
 * }
 */
export class RetryPolicy {
  /** Number of sends in which bytes of the request may have reached a server. */
  sendCount = 0;

  private tries = 0;

  /** Whether a retry was taken from the retry budget and is not used yet. */
  private hasReservedRetry = false;

  /** Whether a backend server may have run the request, as far as attempts have ended. */
  mayHaveRun = false;

  constructor(
    private readonly parts: Pick<RequestParts, 'site' | 'clock' | 'picker'>,
    private readonly admitted: AdmittedRequest,
    private readonly guard: RequestGuard,
  ) {}

  /** Counts a server that was chosen for the request. */
  countTry(): void {
    this.tries += 1;
  }

  /** Records the outcome of an attempt. */
  recordOutcome({ kind }: AttemptOutcome): void {
    this.mayHaveRun ||= kind === 'broken' || kind === 'failed' || kind === 'unconfirmed';
  }

  /** Whether the route allows another send beside the one that is in progress. */
  private get canSendAgain(): boolean {
    return this.isRepeatable && this.sendCount + 1 < this.admitted.route.maxAttempts;
  }

  /**
   * Reserves a retry while an attempt is in progress; returns whether another send is certain to be
   * allowed. Without the reservation, an attempt could be aborted for a retry that is then refused.
   *
   * @param origin set if the request continues a stream, which only servers of this version can do
   */
  reserveRetry(deadlineAt: number, origin?: StreamOrigin): boolean {
    const now = this.parts.clock.now();
    const isAllowed = this.canSendAgain
      && this.guard.isUnsuspected
      && this.hasTriesLeft(now, deadlineAt);
    const { picker } = this.parts;
    if (!isAllowed || !picker.hasAvailableWorker(this.admitted.service, origin)) return false;
    this.hasReservedRetry ||= this.parts.site.retries.take(this.admitted.service, now);
    return this.hasReservedRetry;
  }

  /** Returns an unused reserved retry to the budget. */
  releaseRetry(): void {
    const { site, clock } = this.parts;
    if (this.hasReservedRetry) site.retries.refund(this.admitted.service, clock.now());
    this.hasReservedRetry = false;
  }

  /*
   * Prevents a request that may run only once from running twice: after a byte was sent, another
   * send needs a server that reports that it did not run the request, or a route that allows
   * repeats.
   */
  mayRetry(outcome: AttemptOutcome, writer: AnswerWriter, deadlineAt: number): boolean {
    const { site, clock } = this.parts;
    const now = clock.now();
    if (!this.hasTriesLeft(now, deadlineAt)) return false;
    // The answer of another server must not be appended to the part that the caller already has,
    // unless the stream is resumed after that part.
    const canResume = writer.canResume && site.workers.mechanisms.resumption;
    if (writer.hasStarted && !canResume) return false;
    if (outcome.kind === 'unsent' || outcome.kind === 'withheld') return true;
    if (!this.guard.isUnsuspected) return false;
    const { route, service } = this.admitted;
    const isSafe = outcome.kind === 'rejected' || this.isRepeatable;
    const hasAttempts = outcome.kind === 'rejected' || this.sendCount < route.maxAttempts;
    if (!isSafe || !hasAttempts) return false;
    if (!writer.isPresumedComplete) return this.takeRetry(service, now);
    // A stream that seems complete is worth a retry only while others don't need it.
    return !site.isLeaving && site.retries.takeSpare(service, now);
  }

  /*
   * Callers rely on a refusal that states that the request has not run. A request that was sent to
   * one server and found no second one may have run, so the refusal becomes `outcomeUnknown`.
   */
  adjustRefusal(error: BeechliftError): BeechliftError {
    if (!this.mayHaveRun || error.run !== 'notRun') return error;
    return new BeechliftError('outcomeUnknown', `an earlier attempt may have run the request, and the next one failed: ${error.message}`);
  }

  /**
   * Makes the error that answers a request at its deadline.
   *
   * @param isSent whether bytes of it may have reached a server in the attempt in progress
   */
  makeTimeoutError(isSent: boolean): BeechliftError {
    if (isSent || this.mayHaveRun) return new BeechliftError('routeTimeout', 'the answer was not complete at the deadline of the request');
    return new BeechliftError('noBackend', 'no backend server was reached before the deadline of the request', { retryAfterMs: UNSENT_RETRY_MS });
  }

  /** Makes the error that answers a request which is not sent again. */
  makeFailure(reason: string): BeechliftError {
    if (this.mayHaveRun) return new BeechliftError('outcomeUnknown', `no complete answer was received: ${reason}`);
    return new BeechliftError('noBackend', `no backend server accepted the request: ${reason}`, { retryAfterMs: REFUSED_RETRY_MS });
  }

  private hasTriesLeft(now: number, deadlineAt: number): boolean {
    return now < deadlineAt && this.tries < MAX_TRIES;
  }

  private takeRetry(service: string, now: number): boolean {
    const wasReserved = this.hasReservedRetry;
    this.hasReservedRetry = false;
    return wasReserved || this.parts.site.retries.take(service, now);
  }

  /** Whether the route allows the request to run more than once. */
  private get isRepeatable(): boolean {
    const { route } = this.admitted;
    return route.kind === 'idempotent' || isResumableStream(route);
  }
}
