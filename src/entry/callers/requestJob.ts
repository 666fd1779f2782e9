import type { Context } from '@opentelemetry/api';
import type { Operation } from '../../utils/operation';
import type { AnswerSink } from './answerSink';
import type { CallerRequest } from './callerRequest';
import type { RequestClaim } from '../sending/requestClaim';

/** The caller's end of a request. */
export interface CallerConnection {
  /** Whether the caller has closed its connection. */
  readonly isDisconnected: () => boolean;
  readonly onDisconnect: (listener: () => void) => void;
}

/** One request on its way through an entry. */
export interface RequestJob {
  readonly request: CallerRequest;
  readonly sink: AnswerSink;
  readonly caller: CallerConnection;
  readonly claim: RequestClaim;
  /** Until the request holds its slot; renewed when the request starts over. */
  waitOperation: Operation;
  readonly makeWaitOperation: () => Operation;
  /** From dispatch to the last event. */
  readonly relayOperation: Operation;
  readonly context: Context;
  /** Monotonic time at which the request came. */
  readonly startedAt: number;
  /** Dispatches that provably did no work. */
  unexecutedDispatches: number;
}
