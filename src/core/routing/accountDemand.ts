/** Smoothed demand of one account by rank. */

/** Demand of one rank, in units per second. */
interface RankDemand {
  perSecond: number;
  /** Time of the last update, monotonic milliseconds. */
  updatedAt: number;
}

/** Demand of one account by rank. */
export type AccountDemand = Map<number, RankDemand>;

/** Time over which demand is smoothed, in milliseconds: long enough for a few large requests. */
const WINDOW_MS = 2_000;
const MS_PER_SECOND = 1_000;

const computeCurrentDemand = ({ perSecond, updatedAt }: RankDemand, now: number): number => (
  perSecond * Math.exp((updatedAt - now) / WINDOW_MS)
);

/** Records a request, admitted or not. */
export const recordDemand = (
  demand: AccountDemand,
  rank: number,
  cost: number,
  now: number,
): void => {
  const previous = demand.get(rank);
  const added = (cost * MS_PER_SECOND) / WINDOW_MS;
  demand.set(rank, {
    perSecond: (previous ? computeCurrentDemand(previous, now) : 0) + added,
    updatedAt: now,
  });
};

const sumDemand = (ranks: readonly RankDemand[], now: number): number => (
  ranks.reduce((sum, item) => sum + computeCurrentDemand(item, now), 0)
);

/**
 * Units are reserved for the higher-rank demand of this many milliseconds: enough for a few large
 * requests, but so little that an account near its limit is not refused because of a short burst.
 */
const RESERVE_MS = 200;

/** Computes how many units the demand of higher ranks needs until they are refilled. */
export const computeHigherDemand = (demand: AccountDemand, rank: number, now: number): number => {
  const higher = [...demand].filter(([other]) => other < rank).map(([, item]) => item);
  return (sumDemand(higher, now) * RESERVE_MS) / MS_PER_SECOND;
};

/**
 * Computes how many units a request must leave for higher ranks: none while the account's limit
 * covers its whole demand.
 *
 * @example
 * const reserve = computeReserve(demand, 2, account.perSecond, now);
 */
export const computeReserve = (
  demand: AccountDemand,
  rank: number,
  perSecond: number,
  now: number,
): number => {
  if (sumDemand([...demand.values()], now) <= perSecond) return 0;
  return computeHigherDemand(demand, rank, now);
};
