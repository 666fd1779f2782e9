/** Order in which waiting requests get a slot. */
import { estimateAt } from './linearFit';
import type { PlacementTables, SlotRequest } from './placementTables';
import { findServiceStats } from './routedWorkers';

/** Expected milliseconds that a request holds a slot of the fastest engine. */
const estimateHoldMs = ({ workers }: PlacementTables, request: SlotRequest): number => {
  const { firstEvent, output } = findServiceStats(workers, request.service);
  return estimateAt(firstEvent, request.promptTokens) + estimateAt(output, request.outputTokens);
};

/**
 * Makes the comparator: higher ranks first, then shorter requests, then earlier ones.
 *
 * The shorter request goes first because of bursts in which slots are scarce. Lengths differ by a
 * factor of up to 100 within a rank, and many requests can be served in the time of a few of the
 * longest ones. No request starves: the maximum wait is bounded, and refused callers retry after
 * the burst.
 *
 * @example
 * waiting.sort(makeComparator(tables));
 */
export const makeComparator = (
  tables: PlacementTables,
): (a: SlotRequest, b: SlotRequest) => number => {
  const isShortestFirst = tables.workers.mechanisms.shortestFirst;
  const holdMsById = new Map<string, number>();
  const readHoldMs = (request: SlotRequest): number => {
    const holdMs = holdMsById.get(request.id) ?? estimateHoldMs(tables, request);
    holdMsById.set(request.id, holdMs);
    return holdMs;
  };
  return (a, b) => a.rank - b.rank
    || (isShortestFirst ? readHoldMs(a) - readHoldMs(b) : 0)
    || a.askedAt - b.askedAt;
};
