/** Computes the outcome of an attempt from the head of its answer and the outcome of its call. */
import { clearSuspension, suspendWorker } from '../core/routing/routedWorkers';
import type { RoutedWorker } from '../core/routing/routedWorkers';
import { isBackingOff } from '../core/routing/workerBackoff';
import type { AnswerFraming } from '../wire/answerFraming';
import { isValidStatus } from '../wire/isValidStatus';
import type { AnswerWriter } from './answerWriter';
import type { AttemptOutcome, AttemptTracker } from './attemptTracker';
import type { AnswerFacts } from './requestDialect';
import type { UpstreamOutcome } from './upstreamCall';

const OK = 200;
const SERVER_ERROR = 500;
const UNCONFIRMED = 'only the end of the connection marked the end of the stream';

/** The head of an answer, with the request that it should answer. */
export interface AnswerHead {
  readonly status: number;
  readonly answer: AnswerFacts;
  /** The caller's id of the request. */
  readonly requestId: string;
  /** Whether the head of an answer was sent to the caller before. */
  readonly hasStarted: boolean;
}

/** Returns a failure if a resumed stream is not answered with a success. */
const checkResumedStatus = ({ status, hasStarted }: AnswerHead): AttemptOutcome | undefined => {
  if (!hasStarted || status === OK) return undefined;
  return { kind: 'failed', reason: `expected status 200 for a resumed stream, received ${status}` };
};

/**
 * Returns why an answer's head is refused, or undefined if the answer is passed on.
 *
 * @param reserveRetry returns whether the request is certain to be sent again if it is refused
 * @example
 * const headOutcome = checkAnswerHead(head, () => retryPolicy.reserveRetry(deadlineAt));
 */
export const checkAnswerHead = (
  head: AnswerHead,
  reserveRetry: () => boolean,
): AttemptOutcome | undefined => {
  const {
    status, answer, requestId, hasStarted,
  } = head;
  // A late answer to an earlier request of the connection says nothing about this one.
  const hasOtherId = answer.requestId !== '' && answer.requestId !== requestId;
  if (answer.isNotExecuted && !hasOtherId) return { kind: 'rejected', reason: `status ${status}, not executed` };
  if (!isValidStatus(status)) return { kind: 'broken', reason: `status ${status} is not within 100 to 599` };
  if (answer.requestId !== requestId || answer.isEncoded) {
    return { kind: 'broken', reason: 'the answer does not have the id of the request, or has a content encoding' };
  }
  if (status < SERVER_ERROR) return checkResumedStatus(head);
  const outcome: AttemptOutcome = { kind: 'failed', reason: `status ${status}` };
  return hasStarted || reserveRetry() ? outcome : undefined;
};

/** An attempt whose call has finished. */
export interface FinishedAttempt {
  readonly worker: RoutedWorker;
  readonly tracker: AttemptTracker;
  readonly writer: AnswerWriter;
  readonly framing: AnswerFraming | undefined;
  /** Whether streams of the service that seemed complete were often cut off. */
  readonly isDistrusted: boolean;
  /** Whether the time limit that was named to the server has passed. */
  readonly hasExpired: boolean;
  /** Monotonic milliseconds. */
  readonly now: number;
}

/**
 * Settles an attempt: ends a complete answer, unless another server can prove that it is complete,
 * and updates the statistics of the server.
 *
 * @param headOutcome why the answer's head was refused; undefined if it was not
 * @example
 * const outcome = settleAttempt({
 *   worker, tracker, writer, framing, isDistrusted, hasExpired, now,
 * }, callOutcome, headOutcome);
 */
export const settleAttempt = (
  {
    worker, tracker, writer, framing, isDistrusted, hasExpired, now,
  }: FinishedAttempt,
  callOutcome: UpstreamOutcome,
  headOutcome: AttemptOutcome | undefined,
): AttemptOutcome => {
  if (headOutcome?.kind === 'rejected') {
    // A backoff that the server asked for takes precedence over the entry's own suspension.
    if (!isBackingOff(worker.backoff, now)) suspendWorker(worker, now);
    return headOutcome;
  }
  if (headOutcome?.kind === 'failed') {
    // A server that cannot continue a complete stream has not failed.
    if (!writer.isPresumedComplete) tracker.recordResult(true);
    return headOutcome;
  }
  if (callOutcome.kind === 'complete' && writer.lacksKnownRest) {
    return { kind: 'failed', reason: 'the server has no more events, but an earlier one had begun another' };
  }
  if (callOutcome.kind === 'complete') {
    clearSuspension(worker);
    const isUnconfirmed = framing === 'closeDelimited' && writer.needsProof;
    if (!isUnconfirmed) writer.end();
    else if (!isDistrusted) writer.markPresumedComplete();
    tracker.recordResult(writer.statusCode >= SERVER_ERROR);
    return isUnconfirmed ? { kind: 'unconfirmed', reason: UNCONFIRMED } : { kind: 'answered' };
  }
  writer.recordBreak();
  if (writer.isFinished) return { kind: 'dropped', reason: callOutcome.reason };
  // A server that stops its work at its time limit has not failed.
  if (callOutcome.kind === 'withheld' || (hasExpired && framing === 'closeDelimited')) return callOutcome;
  suspendWorker(worker, now);
  tracker.recordFailure();
  return callOutcome.kind === 'unsent' ? callOutcome : headOutcome ?? callOutcome;
};
