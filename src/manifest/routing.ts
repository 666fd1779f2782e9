/**
 * The routing of a site that forwards the requests of callers to backend servers, through routes
 * that match host and path.
 */
import type { DocumentVersion } from './documentVersion';

/** Whether the requests of a route may be repeated: yes, no, or as a resumed stream. */
export type RouteKind = 'idempotent' | 'nonIdempotent' | 'stream';

/** A service that receives a share of the requests of a route. */
export interface RouteTarget {
  readonly service: string;
  /** Weight relative to the other targets of the route. */
  readonly weight: number;
}

/** Matches requests by host and path, and defines their targets and limits. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. The route with the longest matching prefix is used. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** Time limit for the complete answer, in milliseconds. */
  readonly timeoutMs: number;
  /** Target time for the answer, or for the first event of a stream, in milliseconds. */
  readonly targetLatencyMs: number;
  /** Rank 0 is served first. */
  readonly rank: number;
  readonly targets: readonly RouteTarget[];
  /** Maximum number of backend servers to which one request may be sent. */
  readonly maxAttempts: number;
  /** Whether callers need no key. */
  readonly isPublic: boolean;
  /** Whether a broken stream may resume after its last event at another backend server. */
  readonly isResumable: boolean;
}

/** A service of interchangeable backend servers. */
export interface RoutedService {
  readonly name: string;
  /** Maximum number of connections to one backend server, over all entries together. */
  readonly maxConnections: number;
  /** Whether its backend servers are model engines. */
  readonly isEngine: boolean;
}

/** Unit in which the limit of an account is counted. */
export type LimitUnit = 'requests' | 'tokens';

/** A client account: its keys, rank and limit. */
export interface RoutedAccount {
  readonly name: string;
  readonly keys: readonly string[];
  /**
   * Takes precedence over the rank of the route, which decides between accounts of equal rank.
   * Undefined counts as 0.
   */
  readonly rank: number | undefined;
  readonly unit: LimitUnit;
  /** Units per second, over all entries together; 0 sets no limit. */
  readonly perSecond: number;
  /** Units that may be used at once in addition to the rate. */
  readonly burst: number;
  /** Tokens charged for a request without a token count. */
  readonly defaultTokens: number;
}

/** Limits on the size and the timing of callers' requests. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** The complete routing. */
export interface Routing {
  readonly version: DocumentVersion;
  readonly routes: readonly Route[];
  readonly services: readonly RoutedService[];
  readonly accounts: readonly RoutedAccount[];
  readonly limits: CallerLimits;
}

/** Result of decoding a document: the routing, or every fault that was found. */
export type DecodedRouting = | { readonly routing: Routing; readonly faults: readonly [] }
  | { readonly routing: undefined; readonly faults: readonly string[] };

/** Decodes the text of a document into a routing; the format depends on the platform. */
export type RoutingReader = (document: string) => DecodedRouting;
