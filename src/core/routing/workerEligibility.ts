/** Which backend servers of a service an entry leaves alone, by what they said in answers. */
import { isReady } from './routedWorkers';
import type { RoutedWorker, RoutedWorkers } from './routedWorkers';
import { countProbe, isBackingOff, mayProbe } from './workerBackoff';

const listReady = ({ byService }: RoutedWorkers, service: string): RoutedWorker[] => (
  (byService.get(service) ?? []).filter(isReady)
);

/**
 * Milliseconds until the first server of a service has had its rest; 0 where one that is ready does
 * not rest, or none is ready.
 *
 * @example
 * const restMs = readShortestRest(workers, 'rooms', clock.now());
 */
export const computeShortestBackoffMs = (
  workers: RoutedWorkers,
  service: string,
  now: number,
): number => {
  const ready = listReady(workers, service);
  if (ready.length === 0) return 0;
  return Math.max(0, Math.min(...ready.map(({ backoff: rest }) => rest.until)) - now);
};

/**
 * Whether a server must get nothing of this entry: it leaves, or it rests.
 *
 * @param isServiceBackingOff whether no server of its service that is ready does without a rest
 */
const isAvoided = (
  { isLeaving, backoff: rest }: RoutedWorker,
  isServiceBackingOff: boolean,
  now: number,
): boolean => isLeaving || (isBackingOff(rest, now) && !(isServiceBackingOff && mayProbe(rest, now)));

/**
 * Whether a server may get a request of this entry.
 *
 * @example
 * if (!mayTake(workers, worker, clock.now())) askAgain();
 */
export const isEligible = (workers: RoutedWorkers, worker: RoutedWorker, now: number): boolean => (
  !isAvoided(worker, computeShortestBackoffMs(workers, worker.service, now) > 0, now));

/**
 * Lists servers of a service that must get nothing of this entry although control holds them ready:
 * those that rest, and those that leave.
 *
 * @example
 * const avoided = listAvoided(workers, 'rooms', clock.now());
 */
export const listAvoidedIds = (workers: RoutedWorkers, service: string, now: number): string[] => {
  const isServiceBackingOff = computeShortestBackoffMs(workers, service, now) > 0;
  return (workers.byService.get(service) ?? [])
    .filter(({ standing }) => standing === 'ready')
    .filter((worker) => isAvoided(worker, isServiceBackingOff, now))
    .map(({ id }) => id);
};

/**
 * Whether every server of a service that is ready must get nothing, as it rests.
 *
 * @example
 * if (holdsAllBack(workers, 'rooms', clock.now())) refuse('backendsResting');
 */
export const isServiceBlocked = (workers: RoutedWorkers, service: string, now: number): boolean => (
  computeShortestBackoffMs(workers, service, now) > 0
    && !listReady(workers, service).some(({ backoff: rest }) => mayProbe(rest, now))
);

/** Counts a request that goes to a server, where the server rests. */
export const recordProbe = (worker: RoutedWorker, now: number): void => {
  if (isBackingOff(worker.backoff, now)) worker.backoff = countProbe(worker.backoff);
};
