import { updateIndex } from './workerIndex';
import type {
  RunningEntity, ScheduleStep, ScheduleTables, WaitingEntity, WorkerEntity,
} from './scheduleTypes';

const FIRST_PAUSE_MS = 500;
const MAX_PAUSE_MS = 30_000;
const MAX_TRACKED_REQUESTS = 1_000;

const setReach = (
  tables: ScheduleTables,
  worker: WorkerEntity,
  reach: WorkerEntity['reach'],
): void => {
  worker.reach = reach;
  updateIndex(tables.index, worker);
};

/** Whether a grant says something of the worker as it is now, and not as it was before a pause. */
const isCurrentGrant = (worker: WorkerEntity, { grantedAt }: RunningEntity): boolean => (
  grantedAt >= worker.suspendedAt
);

const recordFailedWorker = ({ failedWorkersByRequest: failedWorkersByRequest }: ScheduleTables, { requestId, workerId }: RunningEntity): void => {
  const workers = failedWorkersByRequest.get(requestId) ?? [];
  failedWorkersByRequest.delete(requestId);
  failedWorkersByRequest.set(requestId, [...workers, workerId]);
  [...failedWorkersByRequest.keys()]
    .slice(0, Math.max(0, failedWorkersByRequest.size - MAX_TRACKED_REQUESTS))
    .forEach((oldest) => failedWorkersByRequest.delete(oldest));
};

/*
 * Guards against a request that loses all its attempts to one server, as the probe of each pause:
 * it is kept for the others that carry its target, busy or not, and goes back only when there is no
 * other.
 */
export const canAttempt = (
  tables: ScheduleTables,
  { ask: { requestId, target } }: WaitingEntity,
  worker: WorkerEntity,
): boolean => {
  const failedWorkers = tables.failedWorkersByRequest.get(requestId);
  if (!failedWorkers?.includes(worker.id)) return true;
  return ![...tables.workers.values()]
    .filter(({ id, leaving, reach }) => !failedWorkers.includes(id) && !leaving && reach !== 'suspended')
    .some(({ targets }) => targets.includes(target));
};

/*
 * Guards against a backend server that announces itself and cannot be reached: a path is broken, or
 * something else listens at its address. Its announcements go on, so they say nothing of its reach;
 * it would take every waiting request again at each of them, until the requests have no attempts
 * left. It is left alone for a pause that doubles, and then gets one request as a probe. Grants
 * that were under way together count as one failure.
 */
export const handleUnreachable = (step: ScheduleStep, running: RunningEntity): void => {
  const { tables, now } = step;
  recordFailedWorker(tables, running);
  const worker = tables.workers.get(running.workerId);
  if (!worker || !isCurrentGrant(worker, running)) return;
  worker.suspendedAt = now;
  worker.pauseMs = Math.min(MAX_PAUSE_MS, Math.max(FIRST_PAUSE_MS, worker.pauseMs * 2));
  setReach(tables, worker, 'suspended');
};

/** A request arrived at the worker: it takes its full load again. */
export const handleReached = ({ tables }: ScheduleStep, running: RunningEntity): void => {
  tables.failedWorkersByRequest.delete(running.requestId);
  const worker = tables.workers.get(running.workerId);
  if (!worker || worker.reach === 'reached' || !isCurrentGrant(worker, running)) return;
  worker.pauseMs = 0;
  setReach(tables, worker, 'reached');
};

/** A new start of a worker is probed at once: what was learnt of the one before may be wrong. */
export const handleRestart = ({ tables }: ScheduleStep, worker: WorkerEntity): void => {
  if (worker.reach === 'suspended') setReach(tables, worker, 'probed');
};

const endPause = (tables: ScheduleTables, worker: WorkerEntity, now: number): void => {
  const isOver = worker.reach === 'suspended' && now >= worker.suspendedAt + worker.pauseMs;
  if (isOver) setReach(tables, worker, 'probed');
};

/** Lets workers whose pause is over take a probe. */
export const runReachSystem = ({ tables, now }: ScheduleStep): void => {
  tables.workers.forEach((worker) => endPause(tables, worker, now));
};
