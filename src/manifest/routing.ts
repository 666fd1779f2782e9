/**
 * The document that drives a routed site: callers reach backend servers unchanged, through routes
 * that are chosen by host and path.
 */

/** What may be repeated of the requests of a route. */
export type RouteKind = 'idempotent' | 'nonIdempotent' | 'stream';

/** A service that takes a share of a route's requests. */
export interface RouteTarget {
  readonly service: string;
  /** Share against the other targets of the route. */
  readonly weight: number;
}

/** Which requests go where, and what they may take. */
export interface Route {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash; the longest one that begins a path wins. */
  readonly pathPrefix: string;
  readonly kind: RouteKind;
  /** Most milliseconds that a caller is kept waiting for the whole answer. */
  readonly timeoutMs: number;
  /** Milliseconds within which an answer, or the first event of a stream, is on time. */
  readonly targetLatencyMs: number;
  /** Rank 0 is served first. */
  readonly rank: number;
  readonly targets: readonly RouteTarget[];
  /** Most backend servers that may be given one request. */
  readonly maxAttempts: number;
  /** Whether callers need no key. */
  readonly isPublic: boolean;
  /** Whether a stream that broke off may go on from its last event at another backend server. */
  readonly isResumable: boolean;
}

/** Backend servers that stand in for one another. */
export interface RoutedService {
  readonly name: string;
  /** Most connections that one backend server takes from all callers together. */
  readonly maxConnections: number;
  /** Whether its backend servers are model engines. */
  readonly isEngine: boolean;
}

/** What an account's limit counts. */
export type LimitUnit = 'requests' | 'tokens';

/** Who may call, and how much. */
export interface RoutedAccount {
  readonly name: string;
  readonly keys: readonly string[];
  /** Takes precedence over the rank of the route. */
  readonly rank: number | undefined;
  readonly unit: LimitUnit;
  /** Units a second over all entries together; 0 sets no limit. */
  readonly perSecond: number;
  /** Units that may be used at once beyond that. */
  readonly burst: number;
  /** What a request counts for that does not tell its tokens. */
  readonly defaultTokens: number;
}

/** Bounds on what a caller may send, and how slowly. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** The whole document. */
export interface Routing {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly RoutedService[];
  readonly accounts: readonly RoutedAccount[];
  readonly limits: CallerLimits;
}

/** What comes of reading a document: the routing, or every fault found in it. */
export type DecodedRouting = | { readonly routing: Routing; readonly faults: readonly [] }
  | { readonly routing: undefined; readonly faults: readonly string[] };

/** Reads the text of a document into a routing; the form of the text is the site's own. */
export type RoutingReader = (document: string) => DecodedRouting;
