/** The load on backend servers, as entries report it to the leader and receive it from there. */
import type { WorkerLoad } from '../../protocol/generated/beechlift';
import type { RoutedWorker, RoutedWorkers } from './routedWorkers';
import { estimateSlowness, findFastestPace } from './workerSlowness';

/** Fields of a load that are sums over entries. */
type LoadField = 'inFlight' | 'tokens' | 'slowness';

const NO_LOAD: Omit<WorkerLoad, 'workerId'> = {
  inFlight: 0, tokens: 0, slowness: 0, placed: 0, placedTokens: 0, observers: 0,
};

/** A slowness is reported in thousandths. */
const THOUSANDTHS = 1_000;

/**
 * Adds what the leader has placed to the loads that entries reported. Without it, servers whose
 * slots are granted look idle to entries that choose while the leader does not answer.
 *
 * @param workers the leader's tables, in which only placed requests count as open
 * @example
 * const loads = addPlaced(entries.sumLoads(now), workers);
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
    ...NO_LOAD, workerId, placed, placedTokens,
  }));
  return loads;
};

/** Adds up the loads of each server, of which there may be several. */
const addUpLoads = (loads: readonly WorkerLoad[]): WorkerLoad[] => {
  const byId = new Map<string, WorkerLoad>();
  loads.forEach((load) => {
    const sum = byId.get(load.workerId);
    if (!sum) {
      byId.set(load.workerId, { ...load });
      return;
    }
    sum.inFlight += load.inFlight;
    sum.tokens += load.tokens;
    sum.slowness += load.slowness;
    sum.observers += load.observers;
  });
  return [...byId.values()];
};

/** Applies a total to one server, less what this entry itself contributed to it. */
const applyLoad = (worker: RoutedWorker, total?: WorkerLoad, own?: WorkerLoad): void => {
  const sumOthers = (field: LoadField): number => (
    Math.max(0, (total?.[field] ?? 0) - (own?.[field] ?? 0)));
  const ownPlaced = worker.placed + worker.delegated;
  const ownPlacedTokens = ownPlaced > 0 ? worker.pendingTokens : 0;
  const observers = (total?.observers ?? 0) - ((own?.slowness ?? 0) > 0 ? 1 : 0);
  worker.othersInFlight = sumOthers('inFlight') + Math.max(0, (total?.placed ?? 0) - ownPlaced);
  worker.othersPendingTokens = sumOthers('tokens')
    + Math.max(0, (total?.placedTokens ?? 0) - ownPlacedTokens);
  worker.othersSlowness = observers > 0 ? sumOthers('slowness') / observers / THOUSANDTHS : 0;
};

/**
 * Applies the other entries' load on each backend server; a server without a load has none.
 *
 * @param totals loads of all entries, this one included
 * @param reported loads and speeds that this entry reported before
 * @example
 * applyLoads(workers, LoadList.decode(reply.loadList).loads, reportedLoads);
 */
export const applyLoads = (
  workers: RoutedWorkers,
  totals: readonly WorkerLoad[],
  reported: readonly WorkerLoad[] = [],
): void => {
  const totalsById = new Map(totals.map((load) => [load.workerId, load]));
  const reportedById = new Map(addUpLoads(reported).map((load) => [load.workerId, load]));
  workers.byId.forEach((worker) => (
    applyLoad(worker, totalsById.get(worker.id), reportedById.get(worker.id))));
};

/** Resets the placed counts, because a new leader does not know the earlier leader's placements. */
export const resetPlaced = (workers: RoutedWorkers): void => {
  workers.byId.forEach((worker) => {
    worker.placed = 0;
  });
};

/** Resets the delegated counts, because another delegate does not know what this one placed. */
export const resetDelegated = (workers: RoutedWorkers): void => {
  workers.byId.forEach((worker) => {
    worker.delegated = 0;
  });
};

/**
 * Applies loads at a replica that grants slots, without the requests that it placed itself.
 *
 * @example
 * applyOtherLoads(workers, LoadList.decode(reply.loadList).loads);
 */
export const applyOtherLoads = (workers: RoutedWorkers, totals: readonly WorkerLoad[]): void => {
  workers.byId.forEach((worker) => {
    worker.delegated = worker.inFlight;
  });
  applyLoads(workers, totals);
};

/**
 * Lists the load that this entry puts on each backend server without the leader's placement, for
 * the leader and the other entries.
 *
 * @example
 * request.loads = listLoads(workers);
 */
export const listLoads = ({ byId }: RoutedWorkers): WorkerLoad[] => [...byId.values()]
  .map((worker) => ({ worker, placed: worker.placed + worker.delegated }))
  .filter(({ worker, placed }) => worker.inFlight > placed)
  .map(({ worker: { id, inFlight, pendingTokens }, placed }) => ({
    ...NO_LOAD,
    workerId: id,
    inFlight: inFlight - placed,
    tokens: placed > 0 ? 0 : Math.max(0, pendingTokens),
  }));

/**
 * Lists the slowness of each backend server that this entry observed.
 *
 * @example
 * request.speeds = listSpeeds(workers);
 */
export const listSpeeds = (workers: RoutedWorkers): WorkerLoad[] => (
  [...workers.byService].flatMap(([service, members]) => {
    const fastestMs = findFastestPace(workers, service);
    return members
      .filter(({ paceSamples }) => paceSamples > 0)
      .map((worker) => ({
        ...NO_LOAD,
        workerId: worker.id,
        slowness: Math.round(THOUSANDTHS * estimateSlowness(workers, worker, fastestMs)),
      }));
  })
);
