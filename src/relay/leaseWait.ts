import type { RequestFacts } from './requestDialect';

/**
 * Fraction of the caller's time limit that a request waits for the entry's lease. If the request is
 * refused after that, its caller has most of the time left to retry. When a whole site starts, its
 * entries get their leases within about a second: a waiting request is then answered, while an
 * immediate refusal would use up the caller's only retry.
 */
const LEASE_WAIT_FRACTION = 1 / 8;
/** Bounds on this wait, in milliseconds. */
const MIN_LEASE_WAIT_MS = 100;
const MAX_LEASE_WAIT_MS = 1_500;

/**
 * Computes how long a request waits for the entry's lease, in milliseconds.
 *
 * @example
 * await site.waitServing(computeLeaseWaitMs(facts));
 */
export const computeLeaseWaitMs = ({ maxWaitMs }: RequestFacts): number => Math.min(
  MAX_LEASE_WAIT_MS,
  Math.max(MIN_LEASE_WAIT_MS, LEASE_WAIT_FRACTION * (maxWaitMs ?? Infinity)),
);
