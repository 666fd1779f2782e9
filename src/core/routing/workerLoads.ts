/** The load on backend servers, as entries report it to the leader and receive it from there. */
import type { WorkerLoad } from '../../protocol/generated/beechlift';
import type { RoutedWorker, RoutedWorkers } from './routedWorkers';
import { estimateSlowness, findFastestPace } from './workerSlowness';

/**
 * Adds what the leader has placed to the loads that entries reported. Without it, servers whose
 * slots are granted look idle to entries that choose while the leader does not answer.
 *
 * @param workers the leader's tables, in which only placed requests count as open
 * @example
 * reply.loads = addPlaced(entries.sumLoads(entryId, now), workers);
 */
export const addPlaced = (loads: WorkerLoad[], { byId }: RoutedWorkers): WorkerLoad[] => {
  const missing = new Map([...byId].filter(([, { inFlight }]) => inFlight > 0));
  loads.forEach((load) => {
    const worker = byId.get(load.workerId);
    load.placed = worker?.inFlight ?? 0;
    load.placedTokens = worker?.pendingTokens ?? 0;
    missing.delete(load.workerId);
  });
  missing.forEach(({ inFlight: placed, pendingTokens: placedTokens }, workerId) => loads.push({
    workerId, inFlight: 0, tokens: 0, slowness: 0, placed, placedTokens,
  }));
  return loads;
};

/** Applies the load of the other entries on one server. */
const applyLoad = (worker: RoutedWorker, load: WorkerLoad | undefined): void => {
  const ownPlacedTokens = worker.placed > 0 ? worker.pendingTokens : 0;
  worker.othersInFlight = (load?.inFlight ?? 0) + Math.max(0, (load?.placed ?? 0) - worker.placed);
  worker.othersPendingTokens = (load?.tokens ?? 0)
    + Math.max(0, (load?.placedTokens ?? 0) - ownPlacedTokens);
  worker.othersSlowness = (load?.slowness ?? 0) / 1_000;
};

/**
 * Applies the other entries' load on each backend server; a server without a load has none.
 *
 * @example
 * applyLoads(workers, reply.loads);
 */
export const applyLoads = (workers: RoutedWorkers, loads: readonly WorkerLoad[]): void => {
  const byId = new Map(loads.map((load) => [load.workerId, load]));
  workers.byId.forEach((worker) => {
    applyLoad(worker, byId.get(worker.id));
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
  placed: 0,
  placedTokens: 0,
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
