/** How often requests of each rank arrive at a service, smoothed. */
interface Rate {
  perMs: number;
  /** When it was last brought up to date, monotonic milliseconds. */
  updatedAt: number;
}

/** Rates by service and rank. */
export type ArrivalRates = Map<string, Map<number, Rate>>;

/** Time over which a rate forgets, in milliseconds: short against a burst, long against a lull. */
const WINDOW_MS = 1_500;

/** Makes an empty table. */
export const makeArrivalRates = (): ArrivalRates => new Map();

const computeCurrentRate = ({ perMs, updatedAt: at }: Rate, now: number): number => (
  perMs * Math.exp((at - now) / WINDOW_MS)
);

/** Counts an arrival. */
export const recordArrival = (
  arrivals: ArrivalRates,
  service: string,
  rank: number,
  now: number,
): void => {
  const ranks = arrivals.get(service) ?? new Map<number, Rate>();
  const rate = ranks.get(rank);
  ranks.set(rank, { perMs: (rate ? computeCurrentRate(rate, now) : 0) + 1 / WINDOW_MS, updatedAt: now });
  arrivals.set(service, ranks);
};

/**
 * Reads how many requests of higher ranks arrive in a millisecond.
 *
 * @example
 * const perMs = readHigherRate(arrivals, 'bale-scribe', 2, now); // ranks 0 and 1
 */
export const sumHigherRates = (
  arrivals: ArrivalRates,
  service: string,
  rank: number,
  now: number,
): number => [...(arrivals.get(service) ?? [])]
  .filter(([other]) => other < rank)
  .reduce((sum, [, rate]) => sum + computeCurrentRate(rate, now), 0);
