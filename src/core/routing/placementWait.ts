/** How long requests wait for a slot of a model engine, and how long they may. */
import { sumHigherRates } from './arrivalRates';
import { estimateAt } from './linearFit';
import { makeComparator } from './placementOrder';
import type { SlotRequest, PlacementTables } from './placementTables';
import { findServiceStats, isReachable } from './routedWorkers';

/**
 * How long a request may wait for a slot, as a part of its target latency, by rank. The rest of the
 * target is for its own beginning. The lowest rank gives up first, as it is served last.
 */
const MAX_WAIT_SHARE_BY_RANK = [0.8, 0.7, 0.6];

const countSlots = (
  { workers }: PlacementTables,
  { service, avoidedIds }: SlotRequest,
  now: number,
): number => (
  (workers.byService.get(service) ?? [])
    .filter((worker) => worker.standing === 'ready' && isReachable(workers, worker, now))
    .filter(({ id }) => !avoidedIds?.includes(id))
    .reduce((sum, { slots }) => sum + slots, 0)
);

const countAhead = (tables: PlacementTables, ask: SlotRequest): number => {
  const compare = makeComparator(tables);
  return [...tables.waiting.values()].filter((other) => (
    other.service === ask.service && other.id !== ask.id && compare(other, ask) <= 0)).length;
};

/** Part of all slots that a rank gets at least, however many requests of higher ranks come. */
const MIN_SLOT_SHARE = 0.05;

/**
 * Estimates how long a request waits for a slot: by what waits before it, how long slots are held,
 * and how many of the slots that become free go to higher ranks which arrive meanwhile. Without the
 * last, low ranks would be let in to wait and be refused late.
 *
 * @example
 * if (estimateWaitMs(tables, ask, now) > computePatienceMs(tables, ask)) refuse();
 */
export const estimateWaitMs = (tables: PlacementTables, ask: SlotRequest, now: number): number => {
  const slots = Math.max(1, countSlots(tables, ask, now));
  const { holdMs } = findServiceStats(tables.workers, ask.service);
  const freedPerMs = slots / holdMs;
  const higherPerMs = tables.workers.mechanisms.higherRanks
    ? sumHigherRates(tables.arrivalRates, ask.service, ask.rank, now)
    : 0;
  const leftPerMs = Math.max(MIN_SLOT_SHARE * freedPerMs, freedPerMs - higherPerMs);
  return (countAhead(tables, ask) + 1) / leftPerMs;
};

/**
 * How long a request may wait for a slot and still begin on time. What its own beginning takes is
 * held back, half of its target at most: long requests are not turned away for being long.
 *
 * @example
 * const isOver = now - ask.askedAt > computePatienceMs(tables, ask);
 */
export const computeMaxWaitMs = (tables: PlacementTables, ask: SlotRequest): number => {
  const rank = tables.workers.mechanisms.patienceByRank ? ask.rank : 0;
  const share = MAX_WAIT_SHARE_BY_RANK[Math.min(rank, MAX_WAIT_SHARE_BY_RANK.length - 1)] ?? 0;
  const ownMs = estimateAt(findServiceStats(tables.workers, ask.service).firstEvent, ask.promptTokens);
  return Math.max(0, share * ask.targetMs - Math.min(ownMs, ask.targetMs / 2));
};
