/** How much longer the work of a backend server takes than that of its service's fastest one. */
import type { RoutedWorker, RoutedWorkers } from './routedWorkers';

/**
 * Finds the shortest observed pace among the servers of a service; undefined without samples.
 *
 * Call it once per decision: called for each candidate, a choice would take quadratic time in the
 * number of servers.
 *
 * @example
 * const fastestMs = findFastestPace(workers, 'bale-scribe');
 */
export const findFastestPace = (workers: RoutedWorkers, service: string): number | undefined => (
  (workers.byService.get(service) ?? []).reduce<number | undefined>(
    (fastest, { paceSamples, paceMs }) => (
      paceSamples > 0 && paceMs < (fastest ?? Infinity) ? paceMs : fastest),
    undefined,
  )
);

/** Own samples that have the same weight as the observations of all other entries. */
const EQUAL_WEIGHT_SAMPLES = 4;

/**
 * Estimates how much longer a server's work takes than that of the fastest server of its service; 1
 * for a server without samples, so that it is tried.
 *
 * @example
 * const fastestMs = findFastestPace(workers, worker.service);
 * estimateSlowness(workers, worker, fastestMs); // 3 if a unit takes three times as long
 */
export const estimateSlowness = (
  { mechanisms }: RoutedWorkers,
  worker: RoutedWorker,
  fastestMs: number | undefined,
): number => {
  if (!mechanisms.learntSpeeds) return 1;
  const own = worker.paceSamples > 0 && fastestMs ? worker.paceMs / fastestMs : 0;
  const others = mechanisms.sharedSlowness ? worker.othersSlowness : 0;
  if (own === 0) return others || 1;
  if (others === 0) return own;
  const weight = worker.paceSamples / (worker.paceSamples + EQUAL_WEIGHT_SAMPLES);
  return weight * own + (1 - weight) * others;
};
