import type { RoutedAccount } from '../manifest/routing';
import type { RawHeaders } from '../wire/rawHeaders';

/** Token counts of a request. */
export interface RequestTokens {
  readonly prompt: number;
  /** Limit on the tokens of the answer. */
  readonly output: number;
  /** Expected tokens of the answer; equals `output` if the caller sent no estimate. */
  readonly expected: number;
}

/** Fields that are read from the headers of a request. */
export interface RequestFacts {
  /** The caller's id of this attempt; empty if it sent none. */
  readonly requestId: string;
  /** How long the caller will wait, in milliseconds; undefined if it sent no limit. */
  readonly maxWaitMs: number | undefined;
  /** The caller's key; empty if it sent none. */
  readonly key: string;
  /** Id of the last event that the caller of a stream has; empty unless it takes a stream up. */
  readonly lastEventId: string;
  /** Id of the attempt that began the stream which the caller takes up; empty if it names none. */
  readonly resumedId: string;
  /** Undefined if the caller sent none. */
  readonly tokens: RequestTokens | undefined;
  /** Ids of the parts of its prompt that other requests may share. */
  readonly promptParts: readonly string[];
}

/** Fields that are read from the headers of an answer. */
export interface AnswerFacts {
  /** Id of the request that the answer belongs to; empty if the answer names none. */
  readonly requestId: string;
  /** Whether the backend server reports that it did not run the request. */
  readonly isNotExecuted: boolean;
  /** Whether the body has a content encoding, which was not requested from the backend server. */
  readonly isEncoded: boolean;
  /** Backoff that the backend server asks for, in milliseconds; 0 if it sent none. */
  readonly restMs: number;
  /** Whether the backend server reports that it is leaving. */
  readonly isLeaving: boolean;
  /** Rate limit that it names, in requests per second; 0 if it names none, NaN if unreadable. */
  readonly limitPerSecond: number;
  /**
   * Requests a second that it can turn away before it fails; 0 if it names none, NaN if unreadable.
   */
  readonly turnAwayLimit: number;
}

/** Values that the entry adds to a forwarded request. */
export interface ForwardedContext {
  readonly workerId: string;
  readonly account: RoutedAccount | undefined;
  readonly remainingMs: number;
  /** Id of the caller's last event if the request resumes a stream; empty otherwise. */
  readonly lastEventId: string;
}

/**
 * Reads and builds the headers that a site's callers and backend servers use. A process has one
 * dialect, which is the only code that contains the header names.
 */
export interface RequestDialect {
  readonly readRequest: (headers: RawHeaders) => RequestFacts;
  readonly readAnswer: (headers: RawHeaders) => AnswerFacts;
  /**
   * Builds the headers for the backend server: those of the caller without hop-by-hop headers, and
   * those that the entry sets.
   */
  readonly buildRequestHeaders: (headers: RawHeaders, forwarded: ForwardedContext) => string[];
}
