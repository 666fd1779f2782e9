import type { Announcement } from '../../protocol/generated/beechlift';
import { removePrefix } from './scheduleTables';
import { updateIndex } from './workerIndex';
import { handleRestart } from './workerReach';
import type { ScheduleStep, ScheduleTables, WorkerEntity } from './scheduleTypes';

const makeWorkerEntity = (announcement: Announcement): WorkerEntity => ({
  id: announcement.id,
  incarnation: announcement.incarnation,
  address: announcement.address,
  zone: announcement.zone,
  hardware: announcement.hardware,
  targets: announcement.models,
  slots: announcement.slots,
  canResume: false,
  leaving: false,
  lastLeavingAt: -Infinity,
  announcedAt: 0,
  externalRequests: 0,
  running: new Set(),
  ended: [],
  prefixes: new Map(),
  slowness: 1,
  loadLevel: 'steady',
  reach: 'reached',
  suspendedAt: 0,
  pauseMs: 0,
  acceptsOrders: false,
  reportedDigest: '',
  orderedDigest: '',
  orderedAt: -Infinity,
  orderPhase: 'serving',
  orderPhaseAt: -Infinity,
});

const addWorker = (
  tables: ScheduleTables,
  announcement: Announcement,
): WorkerEntity | undefined => {
  const known = tables.workers.get(announcement.id);
  if (known || tables.workers.size >= tables.config.limits.workersPerPool) return known;
  const worker = makeWorkerEntity(announcement);
  tables.workers.set(worker.id, worker);
  // After a takeover, requests may be registered before their worker is announced.
  tables.running.forEach(({ workerId, requestId }) => {
    if (workerId === worker.id) worker.running.add(requestId);
  });
  return worker;
};

/**
 * Tolerance for comparing request times with the time of a load reading. A request that was granted
 * or ended within this time of a reading may or may not be included in it.
 */
const LOAD_READING_TOLERANCE_MS = 250;

/** How long an ended request may still be included in a reported load. */
const ENDED_RETENTION_MS = 10_000;

/*
 * Counts the requests on a worker that other systems sent. The load is reported with a delay, so
 * all own requests that held a slot at the time of the reading are subtracted, also those that have
 * ended since. Otherwise own requests would be counted as external load.
 */
const countExternalRequests = (
  { tables, now }: ScheduleStep,
  worker: WorkerEntity,
  announcement: Announcement,
): number => {
  const readAt = now - announcement.loadAgeMs;
  const running = [...worker.running]
    .filter((id) => (tables.running.get(id)?.grantedAt ?? 0) <= readAt + LOAD_READING_TOLERANCE_MS);
  const ended = worker.ended
    .filter(({ grantedAt }) => grantedAt <= readAt + LOAD_READING_TOLERANCE_MS)
    .filter(({ endedAt }) => endedAt >= readAt - LOAD_READING_TOLERANCE_MS);
  return Math.max(0, announcement.running - running.length - ended.length);
};

/**
 * Longest delay of an announcement, in milliseconds: an entry stores it for a new owner for three
 * seconds and forwards it in less than one.
 */
export const MAX_ANNOUNCEMENT_DELAY_MS = 5_000;

/*
 * Guards against reordered announcements: a backend server sends its announcements to the entries
 * in turn, so an older "ready" can reach the owner after "leaving". Within the longest delay of an
 * announcement, only a restart of the server cancels "leaving".
 */
const isLeaving = (
  { now }: ScheduleStep,
  worker: WorkerEntity,
  announcement: Announcement,
): boolean => {
  if (announcement.state === 'leaving') worker.lastLeavingAt = now;
  return now - worker.lastLeavingAt < MAX_ANNOUNCEMENT_DELAY_MS;
};

/** Discards the state that belongs to the earlier incarnation of a worker. */
const resetAfterRestart = (step: ScheduleStep, worker: WorkerEntity): void => {
  worker.lastLeavingAt = -Infinity;
  worker.orderedDigest = '';
  handleRestart(step, worker);
};

/** Updates the tables from an announcement of a backend server. */
export const handleAnnouncement = (step: ScheduleStep, announcement: Announcement): void => {
  const { tables, now } = step;
  const worker = addWorker(tables, announcement);
  if (!worker) return;
  if (worker.incarnation !== announcement.incarnation) resetAfterRestart(step, worker);
  worker.leaving = isLeaving(step, worker, announcement);
  worker.incarnation = announcement.incarnation;
  worker.address = announcement.address;
  worker.zone = announcement.zone;
  worker.hardware = announcement.hardware;
  worker.targets = announcement.models;
  worker.slots = announcement.slots;
  worker.canResume = announcement.abilities.includes('resume');
  worker.acceptsOrders = announcement.abilities.includes('orders');
  worker.reportedDigest = announcement.orderDigest;
  worker.announcedAt = now;
  worker.ended = worker.ended.filter(({ endedAt }) => now - endedAt < ENDED_RETENTION_MS);
  worker.externalRequests = countExternalRequests(step, worker, announcement);
  announcement.evictedPrefixes.forEach((prefix) => removePrefix(tables, worker, prefix));
  updateIndex(tables.index, worker);
};
