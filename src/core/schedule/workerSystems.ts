import { removeUnusedAccounts } from './accountUsage';
import { removePrefix } from './scheduleTables';
import { removeFromIndex, updateIndex } from './workerIndex';
import type {
  RunningEntity, ScheduleStep, ScheduleTables, WorkerEntity,
} from './scheduleTypes';

/** Silence after which a backend server counts as leaving, in milliseconds. */
export const ANNOUNCEMENT_TIMEOUT_MS = 3_000;

const WORKER_RETENTION_MS = 60_000;
const EASED_ABOVE_SLOWNESS = 2.5;
const STEADY_BELOW_SLOWNESS = 1.5;
const SLOWNESS_SMOOTHING = 0.3;
const LATE_FACTOR = 4;
const LATE_MARGIN_MS = 1_000;
const MAX_SLOWNESS_SAMPLE = 10;
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

/** Backend servers that fell silent get no more work; those long gone are forgotten. */
export const runExpirySystem = (step: ScheduleStep): void => {
  const { tables } = step;
  [...tables.workers.values()].forEach((worker) => {
    expireWorker(step, worker);
    removeWorker(step, worker);
  });
  removeUnusedAccounts(tables);
};

/*
 * Guards against easing out a whole pool that is merely overloaded: a worker is judged against the
 * geometric mean of its pool, so that it is slow only when others are not.
 */
const computeRelativeSlowness = (tables: ScheduleTables, worker: WorkerEntity): number => (
  worker.slowness / Math.exp(tables.slownessLogSum / Math.max(1, tables.workers.size))
);

const setPace = (tables: ScheduleTables, worker: WorkerEntity): void => {
  const { pace } = worker;
  const slowness = computeRelativeSlowness(tables, worker);
  if (slowness > EASED_ABOVE_SLOWNESS) worker.pace = 'eased';
  if (slowness < STEADY_BELOW_SLOWNESS) worker.pace = 'steady';
  if (worker.pace !== pace) updateIndex(tables.index, worker);
};

/**
 * Learns how a worker keeps to what is expected of its hardware type: far behind the others, it is
 * eased out to probes; the probes bring it back.
 *
 * @param ratio observed time over expected time
 * @example
 * learnSlowness(tables, worker, 1.2);
 */
export const learnSlowness = (
  tables: ScheduleTables,
  worker: WorkerEntity,
  ratio: number,
): void => {
  if (!tables.policy.stragglers) return;
  const sample = Math.min(MAX_SLOWNESS_SAMPLE, Math.max(0.1, ratio));
  const before = worker.slowness;
  worker.slowness += SLOWNESS_SMOOTHING * (sample - before);
  tables.slownessLogSum += Math.log(worker.slowness / before);
  setPace(tables, worker);
};

const markLate = ({ tables, now }: ScheduleStep, running: RunningEntity): void => {
  if (running.started || running.late) return;
  const allowed = running.expectedFirstTokenMs * LATE_FACTOR + LATE_MARGIN_MS;
  if (now - running.grantedAt < allowed) return;
  running.late = true;
  const worker = tables.workers.get(running.workerId);
  if (worker) learnSlowness(tables, worker, MAX_SLOWNESS_SAMPLE);
};

/** Finds workers that are late with their first tokens before they answer anything. */
export const runStragglerSystem = (step: ScheduleStep): void => {
  step.tables.running.forEach((running) => markLate(step, running));
};

/** Lets the learnt need for headroom fade. */
export const runPeakDecaySystem = ({ tables }: ScheduleStep): void => {
  tables.peakConcurrency.forEach((peak, rank) => {
    const running = tables.runningByRank.get(rank) ?? 0;
    tables.peakConcurrency.set(rank, Math.max(running, peak * 0.5 ** (1 / PEAK_HALF_LIFE_TICKS)));
  });
};
