/** What the requests of one account ask for, by rank, smoothed. */

/** Units a second that one rank asks for. */
interface RankDemand {
  perSecond: number;
  /** When it was last brought up to date, monotonic milliseconds. */
  updatedAt: number;
}

/** Demand of one account by rank. */
export type AccountDemand = Map<number, RankDemand>;

/** Time over which demand is smoothed, in milliseconds: a few large requests fall into it. */
const WINDOW_MS = 2_000;
const MS_PER_SECOND = 1_000;

const computeCurrentDemand = ({ perSecond, updatedAt: at }: RankDemand, now: number): number => (
  perSecond * Math.exp((at - now) / WINDOW_MS)
);

/** Counts a request, let through or not. */
export const recordDemand = (
  demand: AccountDemand,
  rank: number,
  cost: number,
  now: number,
): void => {
  const known = demand.get(rank);
  const added = (cost * MS_PER_SECOND) / WINDOW_MS;
  demand.set(rank, { perSecond: (known ? computeCurrentDemand(known, now) : 0) + added, updatedAt: now });
};

const sumDemand = (ranks: readonly RankDemand[], now: number): number => (
  ranks.reduce((sum, item) => sum + computeCurrentDemand(item, now), 0)
);

/**
 * Time for whose requests of higher ranks units are kept, in milliseconds: some large requests, and
 * so little that an account near its limit is refused nothing for a clump of arrivals.
 */
const RESERVE_MS = 200;

/**
 * Computes how many units a request must leave for the ranks above it: none while the account's
 * limit carries all that it asks for.
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
  const higher = [...demand].filter(([other]) => other < rank).map(([, item]) => item);
  return (sumDemand(higher, now) * RESERVE_MS) / MS_PER_SECOND;
};
