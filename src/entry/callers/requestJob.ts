import type { Context } from '@opentelemetry/api';
import type { Operation } from '../../utils/operation';
import type { AnswerSink } from './answerSink';
import type { CallerRequest } from './callerRequest';
import type { RequestClaim } from '../sending/requestClaim';

/** The caller's connection of a request. */
export interface CallerConnection {
  /** Whether the caller has closed its connection. */
  readonly isDisconnected: () => boolean;
  readonly onDisconnect: (listener: () => void) => void;
}

/** One request that an entry processes, with its claim, its operations and its caller. */
export interface RequestJob {
  readonly request: CallerRequest;
  readonly sink: AnswerSink;
  readonly caller: CallerConnection;
  readonly claim: RequestClaim;
  /** Covers the time until the request holds its slot; replaced before each retry. */
  waitOperation: Operation;
  readonly makeWaitOperation: () => Operation;
  /** Covers the time from the dispatch to the last event. */
  readonly relayOperation: Operation;
  readonly context: Context;
  /** Monotonic time at which the request arrived, in milliseconds. */
  readonly startedAt: number;
  /** Number of dispatches that provably did no work. */
  unexecutedDispatches: number;
}
