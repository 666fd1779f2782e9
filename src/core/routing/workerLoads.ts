/** The load on backend servers, as entries report it to the leader and receive it from there. */
import type { WorkerLoad } from '../../protocol/generated/beechlift';
import type { RoutedWorker, RoutedWorkers } from './routedWorkers';
import { estimateSlowness, findFastestPace } from './workerSlowness';

/**
 * Applies the other entries' load on each backend server; a server without a load has none.
 *
 * @example
 * applyLoads(workers, reply.loads);
 */
export const applyLoads = (workers: RoutedWorkers, loads: readonly WorkerLoad[]): void => {
  const byId = new Map(loads.map((load) => [load.workerId, load]));
  workers.byId.forEach((worker) => {
    const load = byId.get(worker.id);
    worker.othersInFlight = load?.inFlight ?? 0;
    worker.othersPendingTokens = load?.tokens ?? 0;
    worker.othersSlowness = (load?.slowness ?? 0) / 1_000;
  });
};

/** Resets the placed counts, because a new leader does not know the earlier leader's placements. */
export const resetPlaced = (workers: RoutedWorkers): void => {
  workers.byId.forEach((worker) => {
    worker.placed = 0;
  });
};

const makeLoad = (
  workers: RoutedWorkers,
  worker: RoutedWorker,
  fastestMs: number | undefined,
): WorkerLoad => ({
  workerId: worker.id,
  inFlight: Math.max(0, worker.inFlight - worker.placed),
  tokens: worker.placed > 0 ? 0 : Math.max(0, worker.pendingTokens),
  slowness: worker.paceSamples > 0
    ? Math.round(1_000 * estimateSlowness(workers, worker, fastestMs))
    : 0,
});

/**
 * Lists the load that this entry puts on each backend server without the leader's placement, for
 * the leader and the other entries.
 *
 * @example
 * request.loads = listLoads(workers);
 */
export const listLoads = (workers: RoutedWorkers): WorkerLoad[] => (
  [...workers.byService].flatMap(([service, members]) => {
    const fastestMs = findFastestPace(workers, service);
    return members
      .filter(({ inFlight, placed, paceSamples }) => inFlight > placed || paceSamples > 0)
      .map((worker) => makeLoad(workers, worker, fastestMs));
  })
);
