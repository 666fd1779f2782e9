/** Configs of a small deployment: a plain service and a service of model engines. */

/** Key of the tenant of the cases. */
export const KEY = 'k1aaaaaaaaaaaaaaaaaa';
export const HOST = 'ficu95.example';
export const PLAIN_SERVICE = 'wuno96b';
export const ENGINE_SERVICE = 'huvo11a';
/** Requests that may run once at most, to the plain service. */
export const PLAIN_PATH = '/puxa403/';
/** Streams that may not be resumed, to the model engines. */
export const STREAM_PATH = '/pufi791/';

/** The tenant of the cases, without a limit. */
export const TENANT = {
  name: 'hule930', api_keys: [KEY], priority: 1, unit: 'tokens', uncached_tokens: 200,
};

/** Builds a config; `tenants` and `limits` replace the usual ones. */
export const buildConfig = (version, { tenants = [TENANT], limits = {} } = {}) => ({
  version,
  routes: [{
    name: 'r-plain',
    host: HOST,
    path_prefix: PLAIN_PATH,
    route_kind: 'non_idempotent',
    timeout_ms: 3_000,
    target_latency_ms: 300,
    priority: 2,
    service: PLAIN_SERVICE,
    max_attempts: 1,
    public: false,
  }, {
    name: 'r-stream',
    host: HOST,
    path_prefix: STREAM_PATH,
    route_kind: 'streaming',
    timeout_ms: 15_000,
    target_latency_ms: 1_000,
    priority: 0,
    service: ENGINE_SERVICE,
    max_attempts: 1,
    public: false,
    sticky: true,
    resumable: false,
    itl_target_ms: 200,
  }],
  services: [{
    name: PLAIN_SERVICE, health_path: '/healthz', max_connections: 110, protocol: 'h1', tls: false,
  }, {
    name: ENGINE_SERVICE,
    health_path: '/healthz',
    max_connections: 370,
    protocol: 'h1',
    tls: false,
    inference_engine: {
      slots: 6, kv_capacity: 574_646, kv_bytes: 35_136, link_mbps: 740_000, models: [{ name: 'm' }],
    },
  }],
  limits: {
    max_header_bytes: 16_384,
    max_body_bytes: 4_194_304,
    header_timeout_ms: 3_000,
    idle_timeout_ms: 15_000,
    ...limits,
  },
  tenants,
});
