import { removeUnusedAccounts } from './accountUsage';
import { removePrefix } from './scheduleTables';
import { removeFromIndex, updateIndex } from './workerIndex';
import type {
  RunningEntity, ScheduleStep, ScheduleTables, WorkerEntity,
} from './scheduleTypes';

/** Time without an announcement after which a backend server counts as leaving, in milliseconds. */
export const ANNOUNCEMENT_TIMEOUT_MS = 3_000;

const WORKER_RETENTION_MS = 60_000;
/** Relative slowness above which a worker receives only probes. */
const EASED_ABOVE_SLOWNESS = 2.5;
/** Relative slowness below which a worker receives its full load again. */
const STEADY_BELOW_SLOWNESS = 1.5;
const SLOWNESS_SMOOTHING = 0.3;
/** A first token is late after this multiple of its expected time plus `LATE_MARGIN_MS`. */
const LATE_FACTOR = 4;
const LATE_MARGIN_MS = 1_000;
const MAX_SLOWNESS_SAMPLE = 10;
/** Number of ticks in which a recorded peak halves. */
const PEAK_HALF_LIFE_TICKS = 600;

const expireWorker = ({ tables, now }: ScheduleStep, worker: WorkerEntity): void => {
  if (worker.leaving || now - worker.announcedAt < ANNOUNCEMENT_TIMEOUT_MS) return;
  worker.leaving = true;
  updateIndex(tables.index, worker);
};

const removeWorker = ({ tables, now }: ScheduleStep, worker: WorkerEntity): void => {
  const isExpired = now - worker.announcedAt > WORKER_RETENTION_MS && worker.running.size === 0;
  if (!isExpired) return;
  [...worker.prefixes.keys()].forEach((prefix) => removePrefix(tables, worker, prefix));
  removeFromIndex(tables.index, worker.id);
  tables.slownessLogSum -= Math.log(worker.slowness);
  tables.workers.delete(worker.id);
};

/** Stops using backend servers without recent announcements and later removes them. */
export const runExpirySystem = (step: ScheduleStep): void => {
  const { tables } = step;
  [...tables.workers.values()].forEach((worker) => {
    expireWorker(step, worker);
    removeWorker(step, worker);
  });
  removeUnusedAccounts(tables);
};

/*
 * Guards against reducing the load of all workers of a pool that is only overloaded: the slowness
 * of a worker is divided by the geometric mean of the pool, so a worker counts as slow only if the
 * others are not.
 */
const computeRelativeSlowness = (tables: ScheduleTables, worker: WorkerEntity): number => (
  worker.slowness / Math.exp(tables.slownessLogSum / Math.max(1, tables.workers.size))
);

const setLoadLevel = (tables: ScheduleTables, worker: WorkerEntity): void => {
  const { loadLevel } = worker;
  const slowness = computeRelativeSlowness(tables, worker);
  if (slowness > EASED_ABOVE_SLOWNESS) worker.loadLevel = 'eased';
  if (slowness < STEADY_BELOW_SLOWNESS) worker.loadLevel = 'steady';
  if (worker.loadLevel !== loadLevel) updateIndex(tables.index, worker);
};

/**
 * Updates the slowness of a worker, relative to the expected speed of its hardware type. A worker
 * that is much slower than the others receives only probes; fast probes restore its full load.
 *
 * @param ratio observed time divided by expected time
 * @example
 * updateSlowness(tables, worker, 1.2);
 */
export const updateSlowness = (
  tables: ScheduleTables,
  worker: WorkerEntity,
  ratio: number,
): void => {
  if (!tables.policy.stragglers) return;
  const sample = Math.min(MAX_SLOWNESS_SAMPLE, Math.max(0.1, ratio));
  const before = worker.slowness;
  worker.slowness += SLOWNESS_SMOOTHING * (sample - before);
  tables.slownessLogSum += Math.log(worker.slowness / before);
  setLoadLevel(tables, worker);
};

const markLate = ({ tables, now }: ScheduleStep, running: RunningEntity): void => {
  if (running.started || running.late) return;
  const allowed = running.expectedFirstTokenMs * LATE_FACTOR + LATE_MARGIN_MS;
  if (now - running.grantedAt < allowed) return;
  running.late = true;
  const worker = tables.workers.get(running.workerId);
  if (worker) updateSlowness(tables, worker, MAX_SLOWNESS_SAMPLE);
};

/** Detects workers whose first tokens are late, without waiting for the answers. */
export const runStragglerSystem = (step: ScheduleStep): void => {
  step.tables.running.forEach((running) => markLate(step, running));
};

/** Decays the recorded peaks, which determine the headroom. */
export const runPeakDecaySystem = ({ tables }: ScheduleStep): void => {
  tables.peakConcurrency.forEach((peak, rank) => {
    const running = tables.runningByRank.get(rank) ?? 0;
    tables.peakConcurrency.set(rank, Math.max(running, peak * 0.5 ** (1 / PEAK_HALF_LIFE_TICKS)));
  });
};
