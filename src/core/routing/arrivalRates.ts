/** Smoothed rates at which requests of each rank arrive at a service. */

/** Smoothed arrival rate of one rank. */
interface Rate {
  perMs: number;
  /** Time of the last update, monotonic milliseconds. */
  updatedAt: number;
}

/** Rates by service and rank. */
export type ArrivalRates = Map<string, Map<number, Rate>>;

/** Time constant of the decay, in ms: shorter than a burst, longer than a pause within one. */
const WINDOW_MS = 1_500;

/** Creates an empty table. */
export const makeArrivalRates = (): ArrivalRates => new Map();

const computeCurrentRate = ({ perMs, updatedAt }: Rate, now: number): number => (
  perMs * Math.exp((updatedAt - now) / WINDOW_MS)
);

/** Counts an arrival. */
export const recordArrival = (
  rates: ArrivalRates,
  service: string,
  rank: number,
  now: number,
): void => {
  const ranks = rates.get(service) ?? new Map<number, Rate>();
  const rate = ranks.get(rank);
  ranks.set(rank, {
    perMs: (rate ? computeCurrentRate(rate, now) : 0) + 1 / WINDOW_MS,
    updatedAt: now,
  });
  rates.set(service, ranks);
};

/**
 * Sums the arrival rates of higher ranks, in requests per millisecond.
 *
 * @example
 * const perMs = sumHigherRates(rates, 'bale-scribe', 2, now); // ranks 0 and 1
 */
export const sumHigherRates = (
  rates: ArrivalRates,
  service: string,
  rank: number,
  now: number,
): number => [...(rates.get(service) ?? [])]
  .filter(([other]) => other < rank)
  .reduce((sum, [, rate]) => sum + computeCurrentRate(rate, now), 0);
