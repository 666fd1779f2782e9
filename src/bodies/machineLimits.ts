/** What the machine of a process grants to it. */
export interface MachineLimits {
  /** Memory, in megabytes. */
  readonly memoryMb: number;
  /** Descriptors of files and sockets. */
  readonly maxFiles: number;
}

const BYTES_PER_MB = 1_048_576;
/** Memory of a process without bodies, and of freed buffers until they are collected, in MB. */
const PROCESS_MB = 128;
/** Share of the other memory that the bodies of requests may hold together. */
const BODY_SHARE = 1 / 4;
/** The same at least, in megabytes. */
const MIN_BODY_MB = 4;
/** Share of the descriptors that connections may use, by what they are for. */
const CONNECTION_SHARES = { callers: 0.6, operators: 0.4, lookups: 0.1 } as const;

/** What the connections to a server are for. */
export type ConnectionUse = keyof typeof CONNECTION_SHARES;

/**
 * Computes how many bytes the bodies of all requests may hold together.
 *
 * @example
 * const reader = new BodyReader(computeBodyBytes(limits)); // 32 MB of 256
 */
export const computeBodyBytes = ({ memoryMb }: MachineLimits): number => (
  BYTES_PER_MB * Math.max(MIN_BODY_MB, Math.floor((memoryMb - PROCESS_MB) * BODY_SHARE)));

/**
 * Computes how many connections a server may have. The rest of the descriptors is for connections
 * to other servers and for files.
 *
 * @example
 * applyConnectionLimit(server, computeMaxConnections(limits, 'callers')); // 2,457 of 4,096
 */
export const computeMaxConnections = ({ maxFiles }: MachineLimits, use: ConnectionUse): number => (
  Math.max(1, Math.floor(maxFiles * CONNECTION_SHARES[use])));
