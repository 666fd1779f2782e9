/** In which order requests that wait for a slot get one. */
import { estimateAt } from './linearFit';
import type { SlotRequest, PlacementTables } from './placementTables';
import { findServiceStats } from './routedWorkers';

/** Milliseconds that a request is expected to hold a slot of the fastest engine. */
const estimateHoldMs = ({ workers }: PlacementTables, ask: SlotRequest): number => {
  const { firstEvent, output } = findServiceStats(workers, ask.service);
  return estimateAt(firstEvent, ask.promptTokens) + estimateAt(output, ask.outputTokens);
};

/**
 * Makes the order: higher ranks first, then the shorter request, then the one that came first.
 *
 * It answers bursts in which slots are short. Lengths differ by 1 to 100 within a rank, and a few
 * of the longest hold slots in whose time many others are served. Nobody waits for ever: patience
 * is bounded, and who is refused comes back after the burst.
 *
 * @example
 * waiting.sort(makeOrder(tables));
 */
export const makeComparator = (
  tables: PlacementTables,
): (a: SlotRequest, b: SlotRequest) => number => {
  const isByLength = tables.workers.mechanisms.shortestFirst;
  const holds = new Map<string, number>();
  const readHold = (ask: SlotRequest): number => {
    const known = holds.get(ask.id) ?? estimateHoldMs(tables, ask);
    holds.set(ask.id, known);
    return known;
  };
  return (a, b) => a.rank - b.rank
    || (isByLength ? readHold(a) - readHold(b) : 0)
    || a.askedAt - b.askedAt;
};
