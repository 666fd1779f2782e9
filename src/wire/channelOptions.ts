import type { ChannelOptions } from '@grpc/grpc-js';

/**
 * How often the two ends of a connection ping each other. `infrequent` is for connections on which
 * a time limit for each reply detects a dead peer: there, pings only find unused connections. Each
 * ping costs processor time at both ends, which adds up when hundreds of entries are idle.
 */
export type KeepaliveMode = 'frequent' | 'infrequent';

const KEEPALIVE_OPTIONS: Record<KeepaliveMode, ChannelOptions> = {
  frequent: { 'grpc.keepalive_time_ms': 1_000, 'grpc.keepalive_timeout_ms': 700 },
  infrequent: { 'grpc.keepalive_time_ms': 10_000, 'grpc.keepalive_timeout_ms': 3_000 },
};

/** Options of both ends. They turn off the load balancing and the retries of the library. */
const SHARED_OPTIONS: ChannelOptions = {
  'grpc.keepalive_permit_without_calls': 1,
  'grpc.use_local_subchannel_pool': 1,
  'grpc.enable_retries': 0,
  'grpc.service_config_disable_resolution': 1,
  'grpc.enable_http_proxy': 0,
  'grpc.initial_reconnect_backoff_ms': 100,
  'grpc.max_reconnect_backoff_ms': 500,
  'grpc.max_receive_message_length': 67_108_864,
  'grpc.max_send_message_length': 67_108_864,
};

/**
 * Builds the options of a gRPC channel or server.
 *
 * @example
 * const server = new Server(buildChannelOptions('infrequent'));
 */
export const buildChannelOptions = (keepaliveMode: KeepaliveMode): ChannelOptions => (
  { ...SHARED_OPTIONS, ...KEEPALIVE_OPTIONS[keepaliveMode] });
