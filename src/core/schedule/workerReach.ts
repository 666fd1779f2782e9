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

/** Whether a request was granted after the last suspension, so that its result is current. */
const isCurrentGrant = (worker: WorkerEntity, { grantedAt }: RunningEntity): boolean => (
  grantedAt >= worker.suspendedAt
);

const recordFailedWorker = (
  { failedWorkersByRequest }: ScheduleTables,
  { requestId, workerId }: RunningEntity,
): void => {
  const workers = failedWorkersByRequest.get(requestId) ?? [];
  failedWorkersByRequest.delete(requestId);
  failedWorkersByRequest.set(requestId, [...workers, workerId]);
  [...failedWorkersByRequest.keys()]
    .slice(0, Math.max(0, failedWorkersByRequest.size - MAX_TRACKED_REQUESTS))
    .forEach((oldest) => failedWorkersByRequest.delete(oldest));
};

/**
 * Whether a waiting request may be sent to a worker.
 *
 * Guards against a request that spends all its attempts on one unreachable server, as the probe
 * after each pause. The request waits for another worker that serves its target, even if that
 * worker is busy, and tries the same worker again only if there is no other.
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

/**
 * Suspends a worker that a request did not reach.
 *
 * Guards against a backend server that announces itself but cannot be reached, because the network
 * path is broken or another process listens at its address. Its announcements continue, so they do
 * not show that it is reachable. If they did count, waiting requests would be assigned to it until
 * they have no attempts left. The server therefore receives no requests for a pause, which doubles
 * with each failure, and then a single request as a probe. Failures of grants that were in flight
 * at the same time count as one.
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

/** Returns a worker to full load after a request has reached it. */
export const handleReached = ({ tables }: ScheduleStep, running: RunningEntity): void => {
  tables.failedWorkersByRequest.delete(running.requestId);
  const worker = tables.workers.get(running.workerId);
  if (!worker || worker.reach === 'reached' || !isCurrentGrant(worker, running)) return;
  worker.pauseMs = 0;
  setReach(tables, worker, 'reached');
};

/** Probes a restarted worker immediately, because its new incarnation may be reachable. */
export const handleRestart = ({ tables }: ScheduleStep, worker: WorkerEntity): void => {
  if (worker.reach === 'suspended') setReach(tables, worker, 'probed');
};

const endPause = (tables: ScheduleTables, worker: WorkerEntity, now: number): void => {
  const isOver = worker.reach === 'suspended' && now >= worker.suspendedAt + worker.pauseMs;
  if (isOver) setReach(tables, worker, 'probed');
};

/** Allows a probe on workers whose pause has ended. */
export const runReachSystem = ({ tables, now }: ScheduleStep): void => {
  tables.workers.forEach((worker) => endPause(tables, worker, now));
};
