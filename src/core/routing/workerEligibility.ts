/** Which backend servers of a service an entry must avoid, according to their own answers. */
import { computeAllowanceWaitMs } from './rateAllowance';
import { isReady } from './routedWorkers';
import type { RoutedWorker, RoutedWorkers } from './routedWorkers';
import { countProbe, isBackingOff, mayProbe } from './workerBackoff';

const listReadyWorkers = ({ byService }: RoutedWorkers, service: string): RoutedWorker[] => (
  (byService.get(service) ?? []).filter(isReady)
);

/**
 * Milliseconds until the first backoff of a service's ready servers ends; 0 when one of them is not
 * backing off, or none is ready.
 *
 * @example
 * const backoffMs = computeShortestBackoffMs(workers, 'rooms', clock.now());
 */
export const computeShortestBackoffMs = (
  workers: RoutedWorkers,
  service: string,
  now: number,
): number => {
  const ready = listReadyWorkers(workers, service);
  if (ready.length === 0) return 0;
  return Math.max(0, Math.min(...ready.map(({ backoff }) => backoff.until)) - now);
};

/**
 * Milliseconds until a service's ready servers accept a request under their rate limits; 0 when one
 * of them does now, or none is ready.
 *
 * @example
 * const limitedMs = computeShortestAllowanceMs(workers, 'rooms', clock.now());
 */
export const computeShortestAllowanceMs = (
  workers: RoutedWorkers,
  service: string,
  now: number,
): number => {
  const waits = listReadyWorkers(workers, service)
    .map(({ rateLimit }) => computeAllowanceWaitMs(rateLimit.allowance, now));
  return waits.length === 0 ? 0 : Math.min(...waits);
};

/**
 * Whether this entry must not send requests to a server, because it is leaving or backing off.
 *
 * @param isServiceBackingOff whether all ready servers of its service are backing off
 */
const isAvoided = (
  { isLeaving, backoff }: RoutedWorker,
  isServiceBackingOff: boolean,
  now: number,
): boolean => isLeaving
  || (isBackingOff(backoff, now) && !(isServiceBackingOff && mayProbe(backoff, now)));

/**
 * Whether this entry may send requests to a server.
 *
 * @example
 * if (isEligible(workers, worker, clock.now())) recordProbe(worker, clock.now());
 */
export const isEligible = (workers: RoutedWorkers, worker: RoutedWorker, now: number): boolean => (
  !isAvoided(worker, computeShortestBackoffMs(workers, worker.service, now) > 0, now));

/**
 * Lists the servers of a service that this entry must avoid although control reports them as ready:
 * those that are backing off, and those that are leaving.
 *
 * @example
 * const avoided = listAvoidedIds(workers, 'rooms', clock.now());
 */
export const listAvoidedIds = (workers: RoutedWorkers, service: string, now: number): string[] => {
  const isServiceBackingOff = computeShortestBackoffMs(workers, service, now) > 0;
  return (workers.byService.get(service) ?? [])
    .filter(({ standing }) => standing === 'ready')
    .filter((worker) => isAvoided(worker, isServiceBackingOff, now))
    .map(({ id }) => id);
};

/**
 * Whether all ready servers of a service are backing off and none of them may be probed.
 *
 * @example
 * if (isServiceBlocked(workers, 'rooms', clock.now())) refuse('backendsResting');
 */
export const isServiceBlocked = (workers: RoutedWorkers, service: string, now: number): boolean => (
  computeShortestBackoffMs(workers, service, now) > 0
    && !listReadyWorkers(workers, service).some(({ backoff }) => mayProbe(backoff, now))
);

/** Counts a request to a server as a probe if the server is backing off. */
export const recordProbe = (worker: RoutedWorker, now: number): void => {
  if (isBackingOff(worker.backoff, now)) worker.backoff = countProbe(worker.backoff);
};
