import type { RoutedAccount } from '../manifest/routing';

/** Headers as they came, name and value in turn. */
export type RawHeaders = readonly string[];

/** Tokens of a request. */
export interface RequestTokens {
  readonly prompt: number;
  /** Most tokens of the answer. */
  readonly output: number;
  /** Tokens that the answer is expected to have, `output` where its caller gave no estimate. */
  readonly expected: number;
}

/** What the headers of a request tell. */
export interface RequestFacts {
  /** The caller's own id of this attempt; empty when it gave none. */
  readonly requestId: string;
  /** Milliseconds that the caller will wait; undefined when it did not tell. */
  readonly patienceMs: number | undefined;
  /** The key that the caller holds; empty when it sent none. */
  readonly key: string;
  /** Undefined when they were not told. */
  readonly tokens: RequestTokens | undefined;
}

/** What the headers of an answer tell. */
export interface AnswerFacts {
  /** Id of the request that the answer says it belongs to; empty when it names none. */
  readonly requestId: string;
  /** Whether the backend server states that it did not run the request. */
  readonly isNotExecuted: boolean;
  /** Whether something on the way changed the body, which no backend server was asked to do. */
  readonly isEncoded: boolean;
  /** Milliseconds for which the backend server wants no more requests; 0 where it names none. */
  readonly restMs: number;
  /** Whether the backend server says that it leaves. */
  readonly isLeaving: boolean;
}

/** What the entry adds to a request that it passes on. */
export interface ForwardedContext {
  readonly workerId: string;
  readonly account: RoutedAccount | undefined;
  readonly remainingMs: number;
  /** Last event that the caller has of a stream that goes on elsewhere; empty otherwise. */
  readonly lastEventId: string;
}

/**
 * The headers by which a site's callers and backend servers speak of requests. One dialect serves a
 * whole process; it is the only place that knows their names.
 */
export interface RequestDialect {
  readonly readRequest: (headers: RawHeaders) => RequestFacts;
  readonly readAnswer: (headers: RawHeaders) => AnswerFacts;
  /** Headers for the backend server: the caller's, less those of one connection and our own. */
  readonly buildRequestHeaders: (headers: RawHeaders, forwarded: ForwardedContext) => string[];
}
