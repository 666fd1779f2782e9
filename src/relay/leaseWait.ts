import type { RequestFacts } from './requestDialect';

/**
 * How long a request waits for the entry's lease: a part of the time that its caller will wait, so
 * that one which is refused after all has most of its time left to come back. An entry that has
 * just started gets its lease within about a second, with the rest of a site that was killed: a
 * caller that waits is then answered, one that was refused uses up its only other try.
 */
const LEASE_WAIT_FRACTION = 1 / 8;
/** Shortest and longest of these waits, in milliseconds. */
const MIN_LEASE_WAIT_MS = 100;
const MAX_LEASE_WAIT_MS = 1_500;

/**
 * Computes how long a request waits for the entry's lease, in milliseconds.
 *
 * @example
 * await site.waitServing(computeLeaseWaitMs(facts));
 */
export const computeLeaseWaitMs = ({ patienceMs }: RequestFacts): number => Math.min(
  MAX_LEASE_WAIT_MS,
  Math.max(MIN_LEASE_WAIT_MS, LEASE_WAIT_FRACTION * (patienceMs ?? Infinity)),
);
