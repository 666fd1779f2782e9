import fc from 'fast-check';
import type { IAsyncProperty, IProperty, RunDetails } from 'fast-check';

/** Seconds that each search may take; 0 for the short one of every test run. */
const SEARCH_SECONDS = Number(process.env.BEECHLIFT_FUZZ_SECONDS ?? 0);

/** How a search runs as part of every test run. */
export interface ShortSearch {
  readonly runs: number;
  readonly seed: number;
}

const buildParameters = <Arguments>({ runs, seed }: ShortSearch): fc.Parameters<Arguments> => (
  SEARCH_SECONDS > 0
    ? { numRuns: Number.MAX_SAFE_INTEGER, interruptAfterTimeLimit: SEARCH_SECONDS * 1_000 }
    : { numRuns: runs, seed });

/** Throws the counterexample, or tells how far a search came. */
const reportResult = <Arguments>(details: RunDetails<Arguments>): number => {
  if (details.counterexample !== null) {
    throw new Error(fc.defaultReportMessage(details), { cause: details.errorInstance });
  }
  const { numRuns, seed } = details;
  if (SEARCH_SECONDS > 0) console.log(`searched ${numRuns} runs in ${SEARCH_SECONDS} s, seed ${seed}`);
  return numRuns;
};

/**
 * Searches for a counterexample: a fixed number of runs from a fixed seed in every test run, or,
 * with BEECHLIFT_FUZZ_SECONDS, for that long from a fresh seed, which is printed. Time that is over
 * is no failure.
 *
 * @returns the runs that were made
 * @example
 * const runs = runSearch(fc.property(fc.nat(), check), { runs: 150, seed: 4_711 });
 */
export const runSearch = <Arguments>(
  property: IProperty<Arguments>,
  defaults: ShortSearch,
): number => (
  reportResult(fc.check(property, buildParameters<Arguments>(defaults))));

/** The same for a property that is decided later. */
export const runSearchAsync = async <Arguments>(
  property: IAsyncProperty<Arguments>,
  defaults: ShortSearch,
): Promise<number> => (
  reportResult(await fc.check(property, buildParameters<Arguments>(defaults))));
