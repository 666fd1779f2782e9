import { BeechliftError } from '../errors/beechliftError';
import type { AdmittedRequest } from './admitRequest';
import type { AnswerWriter } from './answerWriter';
import type { AttemptOutcome } from './attemptTracker';
import type { RequestGuard } from './requestGuard';
import type { RequestParts } from './requestParts';

/** Servers that a request is offered to without being run by any, at most. */
const MAX_TRIES = 4;
/** Time to come back after servers refused, in milliseconds: a slot or two later. */
const REFUSED_RETRY_MS = 150;

/**
 * When one request may be sent to another server, and what is true of a request that is not: only
 * where nothing can run twice, and where no server is put at risk.
 *
 * @example
 * rules.noteAttempt(end);
 * if (rules.maySendAgain(end, writer, deadlineAt)) offerElsewhere();
 */
export class RetryPolicy {
  /** Times that bytes of the request may have left. */
  sendCount = 0;

  private tries = 0;

  /** Whether a repeat was taken off the allowance and not made so far. */
  private hasReservedRetry = false;

  /** Whether a backend server may have run it. */
  private mayHaveRun = false;

  constructor(
    private readonly parts: Pick<RequestParts, 'site' | 'clock' | 'picker'>,
    private readonly admitted: AdmittedRequest,
    private readonly guard: RequestGuard,
  ) {}

  /** Notes that a server was chosen for it. */
  countTry(): void {
    this.tries += 1;
  }

  /** Notes what came of an attempt. */
  recordOutcome({ kind }: AttemptOutcome): void {
    this.mayHaveRun ||= kind === 'broken' || kind === 'failed';
  }

  /** Whether the route allows one that is at a server now another send. */
  private get canSendAgain(): boolean {
    return this.isRepeatable && this.sendCount + 1 < this.admitted.route.maxAttempts;
  }

  /**
   * Whether one that is at a server now is certain to be allowed another send. The repeat is held
   * from then on, so that neither a server nor its answer is given up for a send that is refused.
   */
  reserveRetry(deadlineAt: number): boolean {
    const now = this.parts.clock.now();
    const isAllowed = this.canSendAgain && this.guard.isFree && this.hasTriesLeft(now, deadlineAt);
    if (!isAllowed || !this.parts.picker.hasAvailableWorker(this.admitted.service)) return false;
    this.hasReservedRetry ||= this.parts.site.retries.take(this.admitted.service, now);
    return this.hasReservedRetry;
  }

  /** Gives a repeat back that was held and not made. */
  releaseRetry(): void {
    const { site, clock } = this.parts;
    if (this.hasReservedRetry) site.retries.refund(this.admitted.service, clock.now());
    this.hasReservedRetry = false;
  }

  /*
   * Guards against running twice what may run once: after a byte was sent, only a server that says
   * that it did not run the request, or a route that may be repeated, allows another send.
   */
  mayRetry(outcome: AttemptOutcome, writer: AnswerWriter, deadlineAt: number): boolean {
    const { site, clock } = this.parts;
    const now = clock.now();
    if (!this.hasTriesLeft(now, deadlineAt)) return false;
    // What another server answers must not be put behind what the caller has of the first answer.
    const canResume = writer.canResume && site.workers.mechanisms.resumption;
    if (writer.hasBegun && !canResume) return false;
    if (outcome.kind === 'unsent') return true;
    if (!this.guard.isFree) return false;
    const { route, service } = this.admitted;
    const isSafe = outcome.kind === 'rejected' || this.isRepeatable;
    const hasAttempts = outcome.kind === 'rejected' || this.sendCount < route.maxAttempts;
    return isSafe && hasAttempts && this.takeRetry(service, now);
  }

  /*
   * Guards a promise: a refusal says that the request has not run, and its caller may rely on that.
   * One that was sent to a server before, and found none for its second try, may have run.
   */
  adjustRefusal(error: BeechliftError): BeechliftError {
    if (!this.mayHaveRun || error.run !== 'notRun') return error;
    return new BeechliftError('outcomeUnknown', `a first try may have run, and then: ${error.message}`);
  }

  /** Makes the answer to a request that is sent nowhere else. */
  makeFailure(reason: string): BeechliftError {
    if (this.mayHaveRun) return new BeechliftError('outcomeUnknown', `no whole answer came: ${reason}`);
    return new BeechliftError('noBackend', `no backend server took the request: ${reason}`, { retryAfterMs: REFUSED_RETRY_MS });
  }

  private hasTriesLeft(now: number, deadlineAt: number): boolean {
    return now < deadlineAt && this.tries < MAX_TRIES;
  }

  private takeRetry(service: string, now: number): boolean {
    const wasReserved = this.hasReservedRetry;
    this.hasReservedRetry = false;
    return wasReserved || this.parts.site.retries.take(service, now);
  }

  /** Whether the route lets it run more than once. */
  private get isRepeatable(): boolean {
    const { kind, isResumable } = this.admitted.route;
    return kind === 'idempotent' || (kind === 'stream' && isResumable);
  }
}
