import type { Context } from '@opentelemetry/api';
import type { Operation } from '../../utils/operation';
import type { AnswerSink } from './answerSink';
import type { CallerRequest } from './callerRequest';
import type { RequestClaim } from '../sending/requestClaim';

/** The caller's end of a request. */
export interface CallerLink {
  /** Whether the caller has closed its connection. */
  readonly isGone: () => boolean;
  readonly onGone: (listener: () => void) => void;
}

/** One request on its way through an entry. */
export interface RequestJob {
  readonly request: CallerRequest;
  readonly sink: AnswerSink;
  readonly caller: CallerLink;
  readonly claim: RequestClaim;
  /** Until the request holds its slot; renewed when the request starts over. */
  waiting: Operation;
  readonly makeWaiting: () => Operation;
  /** From dispatch to the last event. */
  readonly relaying: Operation;
  readonly context: Context;
  /** Monotonic time at which the request came. */
  readonly startedAt: number;
  /** Dispatches that provably did no work. */
  attempts: number;
}
