import { makeOrderState } from './orderState';
import { makeLengthModel } from './lengthModel';
import { updateIndex, makeWorkerIndex } from './workerIndex';
import type {
  PolicySettings, RunningEntity, ScheduleConfig, ScheduleTables, WorkerEntity,
} from './scheduleTypes';

/** Default policy, with all mechanisms enabled. */
export const DEFAULT_POLICY: PolicySettings = {
  name: 'owner', affinity: true, headroom: true, stragglers: true, speeds: true,
};

const DEFAULT_SERVICE_MS = 1_000;
const MAX_WORKER_PREFIXES = 4_096;

/** Rank of a tier that is not in the manifest: after all others. */
export const UNKNOWN_TIER_RANK = 99;

/**
 * Creates the tables of a pool for an owner that has just taken over.
 *
 * @param unregistered entries that may run requests which an earlier owner granted
 * @param settledAt when grants of an earlier owner can no longer start, monotonic milliseconds
 * @example
 * const tables = makeScheduleTables('fast', config, ['e1', 'e2'], now + 5_000);
 */
export const makeScheduleTables = (
  pool: string,
  config: ScheduleConfig,
  unregistered: readonly string[],
  settledAt: number,
  policy: PolicySettings = DEFAULT_POLICY,
): ScheduleTables => ({
  pool,
  policy,
  config,
  workers: new Map(),
  index: makeWorkerIndex(),
  waiting: new Map(),
  queues: new Map(),
  running: new Map(),
  runningByRank: new Map(),
  accounts: new Map(),
  speeds: new Map(),
  lengths: makeLengthModel(),
  slownessLogSum: 0,
  peakConcurrency: new Map(),
  grantRates: new Map(),
  prefixWorkers: new Map(),
  unregisteredEntries: new Set(unregistered),
  settledAt,
  meanServiceMs: DEFAULT_SERVICE_MS,
  orders: makeOrderState(pool, config, settledAt),
  failedWorkersByRequest: new Map(),
  roundRobinCounter: 0,
  comparisons: 0,
});

/** Finds the rank of a tier; 0 is served first. */
export const findRank = (tables: ScheduleTables, tier: string): number => (
  tables.config.tiers[tier]?.rank ?? UNKNOWN_TIER_RANK
);

const updateRankCount = (tables: ScheduleTables, rank: number, change: number): void => {
  const count = (tables.runningByRank.get(rank) ?? 0) + change;
  tables.runningByRank.set(rank, count);
  if (count > (tables.peakConcurrency.get(rank) ?? 0)) tables.peakConcurrency.set(rank, count);
};

/** Adds a request that holds a slot. */
export const addRunning = (tables: ScheduleTables, running: RunningEntity): void => {
  tables.running.set(running.requestId, running);
  updateRankCount(tables, running.rank, 1);
  const worker = tables.workers.get(running.workerId);
  if (!worker) return;
  worker.running.add(running.requestId);
  updateIndex(tables.index, worker);
};

/** Removes a running request and releases its slot. */
export const removeRunning = (
  tables: ScheduleTables,
  requestId: string,
  now: number,
): RunningEntity | undefined => {
  const running = tables.running.get(requestId);
  if (!running) return undefined;
  tables.running.delete(requestId);
  updateRankCount(tables, running.rank, -1);
  const worker = tables.workers.get(running.workerId);
  if (worker) {
    worker.running.delete(requestId);
    worker.ended.push({ grantedAt: running.grantedAt, endedAt: now });
    updateIndex(tables.index, worker);
  }
  return running;
};

/** Removes a prefix from the cached prefixes of a worker. */
export const removePrefix = (
  tables: ScheduleTables,
  worker: WorkerEntity,
  prefix: string,
): void => {
  worker.prefixes.delete(prefix);
  const holders = tables.prefixWorkers.get(prefix);
  holders?.delete(worker.id);
  if (holders?.size === 0) tables.prefixWorkers.delete(prefix);
};

/** Records the prefixes that a worker will have in its cache; evicts the least recently used. */
export const recordPrefixes = (
  tables: ScheduleTables,
  worker: WorkerEntity,
  prefixes: readonly string[],
  now: number,
): void => {
  prefixes.forEach((prefix) => {
    worker.prefixes.delete(prefix);
    worker.prefixes.set(prefix, now);
    const holders = tables.prefixWorkers.get(prefix) ?? new Set();
    holders.add(worker.id);
    tables.prefixWorkers.set(prefix, holders);
  });
  [...worker.prefixes.keys()]
    .slice(0, Math.max(0, worker.prefixes.size - MAX_WORKER_PREFIXES))
    .forEach((prefix) => removePrefix(tables, worker, prefix));
};
