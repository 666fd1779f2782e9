import fc from 'fast-check';
import type { IAsyncProperty, IProperty, RunDetails } from 'fast-check';

/** Duration of each search in seconds; 0 for the fixed number of runs. */
const SEARCH_SECONDS = Number(process.env.BEECHLIFT_FUZZ_SECONDS ?? 0);

/** Number of runs and seed of a search in a normal test run. */
export interface ShortSearch {
  readonly runs: number;
  readonly seed: number;
}

const buildParameters = <Arguments>({ runs, seed }: ShortSearch): fc.Parameters<Arguments> => (
  SEARCH_SECONDS > 0
    ? { numRuns: Number.MAX_SAFE_INTEGER, interruptAfterTimeLimit: SEARCH_SECONDS * 1_000 }
    : { numRuns: runs, seed });

/** Throws the counterexample if there is one; returns the number of runs otherwise. */
const reportResult = <Arguments>(details: RunDetails<Arguments>): number => {
  if (details.counterexample !== null) {
    throw new Error(fc.defaultReportMessage(details), { cause: details.errorInstance });
  }
  const { numRuns, seed } = details;
  if (SEARCH_SECONDS > 0) console.log(`searched ${numRuns} runs in ${SEARCH_SECONDS} s, seed ${seed}`);
  return numRuns;
};

/**
 * Searches for a counterexample. A normal test run makes a fixed number of runs with a fixed seed.
 * With BEECHLIFT_FUZZ_SECONDS, the search uses a random seed, which it prints, and ends without a
 * failure when this time is over.
 *
 * @returns the number of runs
 * @example
 * const runs = runSearch(fc.property(fc.nat(), check), { runs: 150, seed: 4_711 });
 */
export const runSearch = <Arguments>(
  property: IProperty<Arguments>,
  defaults: ShortSearch,
): number => (
  reportResult(fc.check(property, buildParameters<Arguments>(defaults))));

/** Like `runSearch`, for an asynchronous property. */
export const runSearchAsync = async <Arguments>(
  property: IAsyncProperty<Arguments>,
  defaults: ShortSearch,
): Promise<number> => (
  reportResult(await fc.check(property, buildParameters<Arguments>(defaults))));
