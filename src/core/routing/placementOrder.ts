/** Order in which waiting requests get a slot. */
import { estimateAt } from './linearFit';
import type { SlotRequest } from './placementTables';
import { findServiceStats } from './routedWorkers';
import type { RoutedWorkers } from './routedWorkers';

/** What the place of a request in its queue depends on. */
export interface OrderKey {
  readonly rank: number;
  /** Expected milliseconds that it holds a slot of the fastest engine; 0 if lengths don't count. */
  readonly holdMs: number;
  /** When it arrived at the leader, monotonic milliseconds. */
  readonly askedAt: number;
}

/**
 * Computes the key of a request by what is known of its service now.
 *
 * @example
 * const key = computeOrderKey(workers, request);
 */
export const computeOrderKey = (workers: RoutedWorkers, request: SlotRequest): OrderKey => {
  const { rank, askedAt } = request;
  if (!workers.mechanisms.shortestFirst) return { rank, holdMs: 0, askedAt };
  const { firstEvent, output } = findServiceStats(workers, request.service);
  const holdMs = estimateAt(firstEvent, request.promptTokens)
    + estimateAt(output, request.outputTokens);
  return { rank, holdMs, askedAt };
};

/**
 * Compares two keys: higher ranks first, then shorter requests, then earlier ones.
 *
 * The shorter request goes first because of bursts in which slots are scarce. Lengths differ by a
 * factor of up to 100 within a rank, and many requests can be served in the time of a few of the
 * longest ones. No request starves: the maximum wait is bounded, and refused callers retry after
 * the burst.
 *
 * @example
 * keys.sort(compareOrder);
 */
export const compareOrder = (a: OrderKey, b: OrderKey): number => (
  a.rank - b.rank || a.holdMs - b.holdMs || a.askedAt - b.askedAt);
