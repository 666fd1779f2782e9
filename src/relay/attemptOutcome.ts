/** What came of an attempt at a server, by the head of its answer and the end of its call. */
import { clearSuspension, suspendWorker } from '../core/routing/routedWorkers';
import type { RoutedWorker } from '../core/routing/routedWorkers';
import { isBackingOff } from '../core/routing/workerBackoff';
import type { AnswerWriter } from './answerWriter';
import type { AttemptOutcome, AttemptTracker } from './attemptTracker';
import type { AnswerFacts } from './requestDialect';
import type { UpstreamOutcome } from './upstreamCall';

const OK = 200;
const SERVER_ERROR = 500;

/** An answer's head, beside the request that it is to answer. */
export interface AnswerHead {
  readonly status: number;
  readonly answer: AnswerFacts;
  /** The caller's id of the request. */
  readonly requestId: string;
  /** Whether the caller has the beginning of an answer already. */
  readonly hasBegun: boolean;
}

/** A stream that goes on elsewhere can only go on with a success. */
const checkResumedStatus = ({ status, hasBegun }: AnswerHead): AttemptOutcome | undefined => {
  if (!hasBegun || status === OK) return undefined;
  return { kind: 'failed', reason: `status ${status} in place of the rest of a stream` };
};

/**
 * Tells what is wrong with an answer's head; undefined for one that is passed on.
 *
 * @param reserveRetry whether the request is certain to be sent again where this answer is refused
 * @example
 * const verdict = judgeAnswer(judged, () => rules.holdRepeat(deadlineAt));
 */
export const checkAnswerHead = (
  head: AnswerHead,
  reserveRetry: () => boolean,
): AttemptOutcome | undefined => {
  const {
    status, answer, requestId, hasBegun,
  } = head;
  if (answer.isNotExecuted) return { kind: 'rejected', reason: `status ${status}, not executed` };
  if (answer.requestId !== requestId || answer.isEncoded) {
    return { kind: 'broken', reason: 'the answer belongs to another request' };
  }
  if (status < SERVER_ERROR) return checkResumedStatus(head);
  const outcome: AttemptOutcome = { kind: 'failed', reason: `status ${status}` };
  return hasBegun || reserveRetry() ? outcome : undefined;
};

/** An attempt whose call has ended. */
export interface FinishedAttempt {
  readonly worker: RoutedWorker;
  readonly tracker: AttemptTracker;
  readonly writer: AnswerWriter;
  /** Monotonic milliseconds. */
  readonly now: number;
}

/**
 * Settles an attempt: ends an answer that is whole, and learns of the server from how it went.
 *
 * @param headOutcome what was wrong with the answer's head
 * @example
 * const settled = settleAttempt({ worker, notes, writer, now }, end, verdict);
 */
export const settleAttempt = (
  {
    worker, tracker: tracker, writer, now,
  }: FinishedAttempt,
  callOutcome: UpstreamOutcome,
  headOutcome: AttemptOutcome | undefined,
): AttemptOutcome => {
  if (headOutcome?.kind === 'rejected') {
    // What the server asked for goes before a pause of our own.
    if (!isBackingOff(worker.backoff, now)) suspendWorker(worker, now);
    return headOutcome;
  }
  if (headOutcome?.kind === 'failed') {
    tracker.recordAnswer(true);
    return headOutcome;
  }
  if (callOutcome.kind === 'whole') {
    clearSuspension(worker);
    writer.end();
    tracker.recordAnswer(writer.statusCode >= SERVER_ERROR);
    return { kind: 'answered' };
  }
  if (writer.isFinished) return { kind: 'dropped', reason: 'its time was over, or its caller has gone' };
  suspendWorker(worker, now);
  tracker.recordFailure();
  return callOutcome.kind === 'unsent' ? callOutcome : headOutcome ?? callOutcome;
};
