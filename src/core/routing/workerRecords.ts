/** Records of backend servers that replicas exchange, store and recover. */
import type { WorkerAnnouncement, WorkerRecord } from '../../protocol/generated/beechlift';
import { addSuperseded, compareIncarnation, NO_START_TIME } from './workerIncarnation';
import {
  applySameIncarnation, compareWorker, makeTrackedWorker, MAX_WORKERS, setStanding,
} from './workerTable';
import type { TrackedWorker, WorkerStanding, WorkerTable } from './workerTable';

/*
 * Whether a record has no start time, and the server has restarted since it had none: what the
 * record tells is about an earlier incarnation.
 */
const isOfUnnamedStart = (
  { superseded }: TrackedWorker,
  { born }: WorkerAnnouncement,
): boolean => born === NO_START_TIME && superseded.includes(NO_START_TIME);

/** Whether a record of another replica is newer than the tracked worker. */
const isNewer = (known: TrackedWorker, announcement: WorkerAnnouncement): boolean => {
  if (announcement.born === known.said.born) {
    return known.standing !== 'gone' && known.said.sequence <= announcement.sequence;
  }
  return announcement.born !== NO_START_TIME && !known.superseded.includes(announcement.born);
};

/**
 * Whether a record that was stored before a restart holds something that the table lacks: an
 * unknown server, the fact that a server is `gone`, or a later announcement or incarnation.
 *
 * @example
 * const missing = records.filter((record) => needsRecord(table, record));
 */
export const needsRecord = (
  { workers }: WorkerTable,
  { said: announcement, standing }: WorkerRecord,
): boolean => {
  if (!announcement) return false;
  const known = workers.get(announcement.workerId);
  if (!known) return true;
  if (isOfUnnamedStart(known, announcement)) return false;
  const relation = compareWorker(known, announcement);
  if (relation !== 'same') return relation === 'newer';
  return known.standing !== 'gone'
    && (standing === 'gone' || known.said.sequence < announcement.sequence);
};

/** Whether a record tells that the tracked incarnation is gone, whatever its last announcement. */
const isDeregistered = (
  known: TrackedWorker,
  announcement: WorkerAnnouncement,
  standing: string,
): boolean => {
  const { said: { born }, superseded } = known;
  return standing === 'gone'
    && !isOfUnnamedStart(known, announcement)
    && compareIncarnation({ born, superseded }, { born: announcement.born, state: 'gone' }) === 'same';
};

/** Adopts a record from another replica's table. */
export const adoptRecord = (
  table: WorkerTable,
  { said: announcement, standing, supersededStarts }: WorkerRecord,
  now: number,
): void => {
  if (!announcement) return;
  const known = table.workers.get(announcement.workerId);
  const isGone = known !== undefined && isDeregistered(known, announcement, standing);
  if (isGone) applySameIncarnation(table, known, { ...announcement, state: 'gone' }, now);
  if (known && (isGone || !isNewer(known, announcement))) {
    known.superseded = supersededStarts.reduce(addSuperseded, known.superseded);
    return;
  }
  if (!known && table.workers.size >= MAX_WORKERS) return;
  const previousStarts = known && known.said.born !== announcement.born ? [known.said.born] : [];
  const superseded = [...known?.superseded ?? [], ...supersededStarts, ...previousStarts];
  const worker = makeTrackedWorker(announcement, superseded.reduce(addSuperseded, []), now);
  table.workers.set(announcement.workerId, worker);
  // A silent server may have lost its address to another one.
  const usesAddress = standing !== 'gone'
    && (standing !== 'silent' || !table.ownerIds.has(announcement.address));
  if (usesAddress) table.ownerIds.set(announcement.address, announcement.workerId);
  setStanding(table, worker, standing as WorkerStanding);
};

/**
 * Lists the servers that changed since a revision, or all of them when the revision belongs to
 * another table.
 *
 * @example
 * const records = listChangedWorkers(table, request.workersEpoch, request.workersRevision);
 */
export const listChangedWorkers = (
  table: WorkerTable,
  epoch: string,
  revision: number,
): WorkerRecord[] => {
  const sinceRevision = epoch === table.epoch ? revision : 0;
  return [...table.workers.values()]
    .filter((worker) => worker.revision > sinceRevision)
    .map(({ said, standing, superseded }) => (
      { said, standing, supersededStarts: [...superseded] }));
};
