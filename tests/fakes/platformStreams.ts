/** What tests of streams with the programs of the platform have in common. */
import type { CallerHeaders } from './streamCaller';
import type { ServerHeaders } from './versionedServer';

/** Headers of callers on the platform. */
export const CALLER_HEADERS: CallerHeaders = { id: 'attempt-id', lastEventId: 'last-event-id', resumes: 'resumes' };

/** Headers that servers on the platform read. */
export const SERVER_HEADERS: ServerHeaders = { id: 'attempt-id', last: 'last-event-id' };

/** Builds a document with one route for streams, to the engines of the service s. */
export const buildStreamDocument = (isResumable: boolean): object => ({
  version: 1,
  routes: [{
    name: 'r', host: 'shop.example', path_prefix: '/', route_kind: 'streaming', resumable: isResumable, timeout_ms: 8_000, target_latency_ms: 800, priority: 0, service: 's', max_attempts: 2, public: true,
  }],
  services: [{
    name: 's', max_connections: 100, inference_engine: { slots: 6, kv_capacity: 1_000_000 },
  }],
});
