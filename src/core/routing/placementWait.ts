/** How long requests are expected to wait for a slot of a model engine, and how long they may. */
import { sumHigherRates } from './arrivalRates';
import { estimateAt } from './linearFit';
import type { PlacementTables, SlotRequest } from './placementTables';
import { findServiceStats, isReachable } from './routedWorkers';
import { canContinue } from './streamOrigin';

/**
 * Longest wait of a request for a slot, as a share of its target latency, by rank. The rest of the
 * target is for the start of its own answer. Lower ranks wait less, as they are served last.
 */
const MAX_WAIT_SHARE_BY_RANK = [0.8, 0.7, 0.6];

const MS_PER_SECOND = 1_000;

/** Sums the slots that become free per millisecond, as far as rate limits allow to use them. */
const sumFreedPerMs = (
  { workers, mayUseLent }: PlacementTables,
  { service, avoidedIds, origin }: SlotRequest,
  now: number,
): number => {
  const { holdMs } = findServiceStats(workers, service);
  const freedPerMs = (workers.byService.get(service) ?? []).reduce((sum, worker) => {
    const isCounted = worker.standing === 'ready'
      && (!worker.isLent || mayUseLent || origin !== undefined)
      && isReachable(workers, worker, now)
      && !avoidedIds?.includes(worker.id)
      && canContinue(worker, origin);
    const { slots, rateLimit: { allowance } } = worker;
    return isCounted
      ? sum + Math.min(slots / holdMs, allowance.perSecond / MS_PER_SECOND)
      : sum;
  }, 0);
  return freedPerMs > 0 ? freedPerMs : 1 / holdMs;
};

/** Smallest share of the freed slots that a rank is assumed to get despite higher ranks. */
const MIN_SLOT_SHARE = 0.05;

/**
 * Estimates how long a request waits for a slot, in milliseconds, from the requests ahead of it,
 * the time that slots are held, and the freed slots that go to higher-rank requests which arrive
 * meanwhile. Without the latter, low ranks would be queued first and refused only later.
 *
 * @example
 * if (estimateWaitMs(tables, request, now) > computeMaxWaitMs(tables, request)) refuse();
 */
export const estimateWaitMs = (
  tables: PlacementTables,
  request: SlotRequest,
  now: number,
): number => {
  const freedPerMs = sumFreedPerMs(tables, request, now);
  const higherPerMs = tables.workers.mechanisms.higherRanks
    ? sumHigherRates(tables.arrivalRates, request.service, request.rank, now)
    : 0;
  const remainingPerMs = Math.max(MIN_SLOT_SHARE * freedPerMs, freedPerMs - higherPerMs);
  return (tables.waiting.countAhead(request) + 1) / remainingPerMs;
};

/**
 * Longest wait of a request that continues a stream, in milliseconds. Its caller loses all that it
 * has received if it is refused, and gives the stream up after a gap of about this length.
 */
export const MAX_CONTINUATION_WAIT_MS = 2_000;

/**
 * Computes how long a request may wait for a slot and still start on time. The time until its own
 * answer starts is deducted, up to half of its target: long requests are not refused for being
 * long.
 *
 * @example
 * const isOver = now - request.askedAt > computeMaxWaitMs(tables, request);
 */
export const computeMaxWaitMs = (tables: PlacementTables, request: SlotRequest): number => {
  if (request.origin || request.resumedId !== undefined) return MAX_CONTINUATION_WAIT_MS;
  const rank = tables.workers.mechanisms.patienceByRank ? request.rank : 0;
  const share = MAX_WAIT_SHARE_BY_RANK[Math.min(rank, MAX_WAIT_SHARE_BY_RANK.length - 1)] ?? 0;
  const ownMs = estimateAt(
    findServiceStats(tables.workers, request.service).firstEvent,
    request.promptTokens,
  );
  return Math.max(0, share * request.targetMs - Math.min(ownMs, request.targetMs / 2));
};

/**
 * Estimates how many slots the requests that arrive for a service would use on average, whether
 * they get one or not.
 *
 * @example
 * const slots = estimateDemand(tables, 'bale-scribe', clock.now()); // 40 requests/s of 0.5 s: 20
 */
export const estimateDemand = (
  { arrivalRates, workers }: PlacementTables,
  service: string,
  now: number,
): number => (
  sumHigherRates(arrivalRates, service, Infinity, now) * findServiceStats(workers, service).holdMs);
