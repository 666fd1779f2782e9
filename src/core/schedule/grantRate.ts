import type { ScheduleTables } from './scheduleTypes';

/** Time constant of the exponential decay of a rate, in seconds. */
const WINDOW_SECONDS = 2;
const MS_PER_SECOND = 1_000;

const readRate = (tables: ScheduleTables, rank: number, now: number): number => {
  const rate = tables.grantRates.get(rank);
  if (!rate) return 0;
  return rate.perSecond * Math.exp((rate.updatedAt - now) / (WINDOW_SECONDS * MS_PER_SECOND));
};

/** Adds one grant to the rate of a rank. */
export const recordGrant = (tables: ScheduleTables, rank: number, now: number): void => {
  const perSecond = readRate(tables, rank, now) + 1 / WINDOW_SECONDS;
  tables.grantRates.set(rank, { perSecond, updatedAt: now });
};

const findHeadWaitMs = (tables: ScheduleTables, rank: number, now: number): number => {
  const heads = [...(tables.queues.get(rank)?.values() ?? [])].flatMap(([head]) => head ?? []);
  const waits = heads.map((id) => now - (tables.waiting.get(id)?.askedAt ?? now));
  return Math.max(0, ...waits);
};

/**
 * Estimates the time between two grants of a rank from its recent grant rate. The estimate is
 * limited by the longest wait of a queue head plus the mean service time, for ranks without recent
 * grants.
 *
 * @example
 * const waitMs = (ahead + 1) * estimateGrantIntervalMs(tables, 2, now);
 */
export const estimateGrantIntervalMs = (
  tables: ScheduleTables,
  rank: number,
  now: number,
): number => {
  const measured = MS_PER_SECOND / Math.max(1e-9, readRate(tables, rank, now));
  const waited = findHeadWaitMs(tables, rank, now) + tables.meanServiceMs;
  return Math.min(measured, waited);
};
