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
  pace: 'steady',
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
  // An owner that took over may have heard of requests there before it heard of the worker.
  tables.running.forEach(({ workerId, requestId }) => {
    if (workerId === worker.id) worker.running.add(requestId);
  });
  return worker;
};

/**
 * Dispatch and reading are milliseconds apart; a request this near to a reading may or may not be
 * in it.
 */
const LOAD_READING_TOLERANCE_MS = 250;

/** How long an ended request may still stand in a reported load. */
const ENDED_RETENTION_MS = 10_000;

/*
 * Guards against taking our own requests for somebody else's load, which is reported with a lag:
 * what held a slot here at the time of the reading, ended since or not, is ours. Only what is
 * beyond that is foreign.
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
 * Longest way of an announcement, in milliseconds: kept by an entry for a new owner for three
 * seconds, and forwarded in less than one.
 */
export const MAX_ANNOUNCEMENT_DELAY_MS = 5_000;

/*
 * Guards against an announcement that was overtaken: a backend server tells its entries in turn,
 * and a "ready" from before it said that it leaves can come to the owner later. Within the longest
 * way of an announcement only a new start of the server takes "leaving" back.
 */
const isLeaving = (
  { now }: ScheduleStep,
  worker: WorkerEntity,
  announcement: Announcement,
): boolean => {
  if (announcement.state === 'leaving') worker.lastLeavingAt = now;
  return now - worker.lastLeavingAt < MAX_ANNOUNCEMENT_DELAY_MS;
};

/** A new start of a worker has nothing to do with what the one before said or was ordered. */
const resetAfterRestart = (step: ScheduleStep, worker: WorkerEntity): void => {
  worker.lastLeavingAt = -Infinity;
  worker.orderedDigest = '';
  handleRestart(step, worker);
};

/** Takes in what a backend server says of itself. */
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
