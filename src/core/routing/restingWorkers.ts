/** Which backend servers of a service an entry leaves alone, by what they said in answers. */
import { isReady } from './routedWorkers';
import type { RoutedWorker, RoutedWorkers } from './routedWorkers';
import { addProbe, isResting, mayProbe } from './workerRest';

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
export const readShortestRest = (
  workers: RoutedWorkers,
  service: string,
  now: number,
): number => {
  const ready = listReady(workers, service);
  if (ready.length === 0) return 0;
  return Math.max(0, Math.min(...ready.map(({ rest }) => rest.until)) - now);
};

/**
 * Whether a server must get nothing of this entry: it leaves, or it rests.
 *
 * @param doAllRest whether no server of its service that is ready does without a rest
 */
const isAvoided = (
  { isLeaving, rest }: RoutedWorker,
  doAllRest: boolean,
  now: number,
): boolean => isLeaving || (isResting(rest, now) && !(doAllRest && mayProbe(rest, now)));

/**
 * Whether a server may get a request of this entry.
 *
 * @example
 * if (!mayTake(workers, worker, clock.now())) askAgain();
 */
export const mayTake = (workers: RoutedWorkers, worker: RoutedWorker, now: number): boolean => (
  !isAvoided(worker, readShortestRest(workers, worker.service, now) > 0, now));

/**
 * Lists servers of a service that must get nothing of this entry although control holds them ready:
 * those that rest, and those that leave.
 *
 * @example
 * const avoided = listAvoided(workers, 'rooms', clock.now());
 */
export const listAvoided = (workers: RoutedWorkers, service: string, now: number): string[] => {
  const doAllRest = readShortestRest(workers, service, now) > 0;
  return (workers.byService.get(service) ?? [])
    .filter(({ standing }) => standing === 'ready')
    .filter((worker) => isAvoided(worker, doAllRest, now))
    .map(({ id }) => id);
};

/**
 * Whether every server of a service that is ready must get nothing, as it rests.
 *
 * @example
 * if (holdsAllBack(workers, 'rooms', clock.now())) refuse('backendsResting');
 */
export const holdsAllBack = (workers: RoutedWorkers, service: string, now: number): boolean => (
  readShortestRest(workers, service, now) > 0
    && !listReady(workers, service).some(({ rest }) => mayProbe(rest, now))
);

/** Counts a request that goes to a server, where the server rests. */
export const noteSent = (worker: RoutedWorker, now: number): void => {
  if (isResting(worker.rest, now)) worker.rest = addProbe(worker.rest);
};
