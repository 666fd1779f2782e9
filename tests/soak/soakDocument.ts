import type { DocumentChange, PlannedRequest, RequestKind } from './soakPlan';

/** Name under which callers reach the site. */
export const SITE_HOST = 'shop.example';

/** Timeouts of streams and of whole answers, in milliseconds. */
const STREAM_TIMEOUT_MS = 15_000;
const SHORT_STREAM_TIMEOUT_MS = 5_000;
const PLAIN_TIMEOUT_MS = 2_500;
const IDLE_TIMEOUT_MS = 15_000;
const SHORT_IDLE_TIMEOUT_MS = 1_500;

const kinds: Record<RequestKind, object> = {
  stream: {
    route_kind: 'streaming', resumable: false, service: 'engines', max_attempts: 1,
  },
  resumable: {
    route_kind: 'streaming', resumable: true, service: 'engines', max_attempts: 2,
  },
  once: { route_kind: 'non_idempotent', service: 'desk', max_attempts: 1 },
  idempotent: { route_kind: 'idempotent', service: 'desk', max_attempts: 2 },
};

/** Kinds of requests that are answered with a stream. */
export const STREAM_KINDS: readonly RequestKind[] = ['stream', 'resumable'];

/** Kinds of requests that may be run once at most. */
export const ONCE_KINDS: readonly RequestKind[] = ['stream', 'once'];

const readTimeoutMs = (kind: RequestKind, changes: readonly DocumentChange[]): number => {
  if (!STREAM_KINDS.includes(kind)) return PLAIN_TIMEOUT_MS;
  return changes.includes('shortTimeout') ? SHORT_STREAM_TIMEOUT_MS : STREAM_TIMEOUT_MS;
};

/**
 * Returns how long a request may take: until its own time limit or the shortest timeout that its
 * route had in the run.
 */
export const readLimitMs = (
  { kind, limitMs }: Pick<PlannedRequest, 'kind' | 'limitMs'>,
  changes: readonly DocumentChange[],
): number => Math.min(limitMs, readTimeoutMs(kind, changes));

/** Builds a routing document with a route for each kind of requests. */
export const buildDocument = (version: number, change: DocumentChange): object => ({
  version,
  routes: Object.entries(kinds).map(([kind, fields]) => ({
    name: kind,
    host: SITE_HOST,
    path_prefix: `/${kind}/`,
    timeout_ms: readTimeoutMs(kind as RequestKind, [change]),
    target_latency_ms: 500,
    priority: 1,
    public: true,
    ...fields,
  })),
  services: [
    { name: 'engines', max_connections: 600, inference_engine: { slots: 16, kv_capacity: 1_000_000 } },
    { name: 'desk', max_connections: 100 },
  ],
  limits: {
    max_header_bytes: 16_384,
    max_body_bytes: 4_194_304,
    header_timeout_ms: 3_000,
    idle_timeout_ms: change === 'shortIdleLimit' ? SHORT_IDLE_TIMEOUT_MS : IDLE_TIMEOUT_MS,
  },
});
