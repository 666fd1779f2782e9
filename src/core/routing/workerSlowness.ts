/** How much longer the work of one backend server takes than that of the fastest of its service. */
import type { RoutedWorker, RoutedWorkers } from './routedWorkers';

/**
 * Finds the shortest pace that was observed at a server of a service, if any was.
 *
 * Read once for each decision: read for each server that it looks at, a choice would cost the
 * square of the servers.
 *
 * @example
 * const fastestMs = findFastestPace(workers, 'bale-scribe');
 */
export const findFastestPace = (workers: RoutedWorkers, service: string): number | undefined => (
  (workers.byService.get(service) ?? []).reduce<number | undefined>(
    (least, { paceSamples, paceMs }) => (
      paceSamples > 0 && paceMs < (least ?? Infinity) ? paceMs : least),
    undefined,
  )
);

/** Own observations that count as much as what all other entries observed. */
const EQUAL_WEIGHT_SAMPLES = 4;

/**
 * Estimates how much longer a server's work takes than that of the fastest of its service; 1 for
 * one that was never observed, so that it is tried.
 *
 * @example
 * const fastestMs = findFastestPace(workers, worker.service);
 * estimateSlowness(workers, worker, fastestMs); // 3 where a unit takes three times as long
 */
export const estimateSlowness = (
  { mechanisms }: RoutedWorkers,
  worker: RoutedWorker,
  fastest: number | undefined,
): number => {
  if (!mechanisms.learntSpeeds) return 1;
  const own = worker.paceSamples > 0 && fastest ? worker.paceMs / fastest : 0;
  const others = mechanisms.sharedSlowness ? worker.othersSlowness : 0;
  if (own === 0) return others || 1;
  if (others === 0) return own;
  const weight = worker.paceSamples / (worker.paceSamples + EQUAL_WEIGHT_SAMPLES);
  return weight * own + (1 - weight) * others;
};
