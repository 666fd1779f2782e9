import type { WorkerAnnouncement } from '../../protocol/generated/beechlift';
import {
  addSuperseded, compareIncarnation, isProven, NO_START_TIME,
} from './workerIncarnation';
import type { IncarnationRelation, UnprovenIncarnation } from './workerIncarnation';

/**
 * State of a backend server; only a `ready` one gets new requests.
 *
 * - `draining`: finishes its open requests.
 * - `gone`: was deregistered, or has ended and another server uses its address. This incarnation
 *   cannot become ready again.
 * - `silent`: has not announced itself within the timeout, or another server uses its address.
 */
export type WorkerStanding = 'ready' | 'draining' | 'gone' | 'silent';

/** A backend server in the table. */
export interface TrackedWorker {
  /** Its last announcement. */
  said: WorkerAnnouncement;
  standing: WorkerStanding;
  /** Time of its last announcement, monotonic milliseconds. */
  lastSeenAt: number;
  /** Revision of the table at its last change. */
  revision: number;
  /** Time of the first announcement of its current incarnation, monotonic milliseconds. */
  readonly firstSeenAt: number;
  /** Start times of its earlier incarnations, oldest first. */
  superseded: readonly number[];
  /** An incarnation that may be the later one although its start time is earlier. */
  unproven: UnprovenIncarnation | undefined;
}

/** All backend servers that have announced themselves. */
export interface WorkerTable {
  /** Identifies the table that revisions belong to; each leader has its own. */
  readonly epoch: string;
  revision: number;
  readonly workers: Map<string, TrackedWorker>;
  /** Id of the backend server that uses an address, by address. */
  readonly ownerIds: Map<string, string>;
}

/**
 * Time without announcements after which a backend server gets no more requests, in milliseconds:
 * four of the usual announcement intervals of 1.2 s, so that an announcement delayed by a second or
 * two does not count as a failure.
 */
export const WORKER_TIMEOUT_MS = 5_000;

/**
 * How long the server that uses an address must have been silent before another one takes the
 * address over, in milliseconds. A server that runs announces itself twice in that time, and no
 * platform gives an address away sooner after its server has ended.
 */
export const ADDRESS_RELEASE_MS = 2_000;

/**
 * How long a server that lost its address may come back, in milliseconds: longer than announcements
 * are late. Then it counts as ended, and entries forget it.
 */
const DISPLACED_RETENTION_MS = 60_000;

/** How long a `gone` server is stored, so that a late announcement does not add it again. */
export const GONE_RETENTION_MS = 300_000;

/**
 * How long after a restart a deregistration without a start time may belong to the earlier
 * incarnation, in milliseconds: announcements can be seconds late, and a server that has just
 * started does not leave.
 */
const LATE_DEREGISTRATION_MS = 10_000;

/** Limit on the table's size, `gone` servers included. */
export const MAX_WORKERS = 20_000;

/** Creates an empty table. */
export const makeWorkerTable = (epoch: string): WorkerTable => ({
  epoch, revision: 0, workers: new Map(), ownerIds: new Map(),
});

/** Sets the standing of a server, which is a change of the table. */
export const setStanding = (
  table: WorkerTable,
  worker: TrackedWorker,
  standing: WorkerStanding,
): void => {
  table.revision += 1;
  worker.standing = standing;
  worker.revision = table.revision;
};

/** Returns the other server that uses the address of an announcement. */
const findOtherOwner = (
  { ownerIds, workers }: WorkerTable,
  { workerId, address }: WorkerAnnouncement,
): TrackedWorker | undefined => {
  const ownerId = ownerIds.get(address);
  const owner = ownerId === undefined || ownerId === workerId ? undefined : workers.get(ownerId);
  return owner?.standing === 'gone' ? undefined : owner;
};

/*
 * Protects the server that uses an address from late announcements of others that used it before,
 * known ones or not: a server that runs is heard of again before the address may be taken over.
 */
const isAddressInUse = (
  table: WorkerTable,
  announcement: WorkerAnnouncement,
  now: number,
): boolean => {
  const owner = findOtherOwner(table, announcement);
  return announcement.state !== 'gone'
    && owner !== undefined
    && now - owner.lastSeenAt < ADDRESS_RELEASE_MS;
};

/*
 * A server whose address is taken over may run all the same, if its announcements were late: it
 * gets no requests, and takes the address back once the other one is silent.
 */
const assignAddress = (table: WorkerTable, announcement: WorkerAnnouncement): void => {
  const previousOwner = findOtherOwner(table, announcement);
  if (previousOwner) setStanding(table, previousOwner, previousOwner.standing === 'draining' ? 'gone' : 'silent');
  table.ownerIds.set(announcement.address, announcement.workerId);
};

/** Makes a ready server from an announcement. */
export const makeTrackedWorker = (
  announcement: WorkerAnnouncement,
  superseded: readonly number[],
  now: number,
): TrackedWorker => ({
  said: announcement,
  standing: 'ready',
  lastSeenAt: now,
  revision: 0,
  firstSeenAt: now,
  superseded,
  unproven: undefined,
});

const addWorker = (
  table: WorkerTable,
  announcement: WorkerAnnouncement,
  superseded: readonly number[],
  now: number,
): void => {
  const worker = makeTrackedWorker(announcement, superseded, now);
  table.workers.set(announcement.workerId, worker);
  if (announcement.state !== 'gone') assignAddress(table, announcement);
  setStanding(table, worker, announcement.state as WorkerStanding);
};

const isOlder = (announcement: WorkerAnnouncement, known: WorkerAnnouncement): boolean => (
  announcement.state !== 'gone' && announcement.sequence < known.sequence
);

const hasChanged = (worker: TrackedWorker, announcement: WorkerAnnouncement): boolean => {
  const previous = worker.said;
  return worker.standing !== announcement.state
    || previous.address !== announcement.address
    || previous.slots !== announcement.slots
    || previous.service !== announcement.service
    || previous.software !== announcement.software
    || (previous.coldMs > 0) !== (announcement.coldMs > 0);
};

/**
 * Whether an announcement only says that a ready server still runs: a table that already lists it
 * would not change.
 *
 * @example
 * if (isSignOfLife(table, announcement)) forwardLater(announcement);
 */
export const isSignOfLife = (
  { workers }: WorkerTable,
  announcement: WorkerAnnouncement,
): boolean => {
  const worker = workers.get(announcement.workerId);
  return worker?.standing === 'ready'
    && worker.said.born === announcement.born
    && !hasChanged(worker, announcement);
};

/** Merges a deregistration, which holds only the id, into the previous announcement. */
const mergeAnnouncement = (
  previous: WorkerAnnouncement,
  announcement: WorkerAnnouncement,
): WorkerAnnouncement => (announcement.state === 'gone'
  ? { ...previous, born: announcement.born || previous.born, state: 'gone' }
  : announcement
);

/*
 * Protects a server that has just restarted from a deregistration without a start time, which may
 * belong to its earlier incarnation: the server gets no requests until it announces itself as ready
 * again, but does not become `gone`.
 */
const isAmbiguousDeregistration = (
  worker: TrackedWorker,
  announcement: WorkerAnnouncement,
  now: number,
): boolean => (
  announcement.state === 'gone'
  && announcement.born !== worker.said.born
  && worker.superseded.length > 0
  && now - worker.firstSeenAt < LATE_DEREGISTRATION_MS
);

type IncarnationHandler = (
  table: WorkerTable, worker: TrackedWorker, announcement: WorkerAnnouncement, now: number,
) => void;

/** Applies an announcement of the incarnation that is known. */
export const applySameIncarnation: IncarnationHandler = (table, worker, announcement, now) => {
  if (worker.standing === 'gone' || isOlder(announcement, worker.said)) return;
  if (isAmbiguousDeregistration(worker, announcement, now)) {
    setStanding(table, worker, 'draining');
    return;
  }
  worker.lastSeenAt = now;
  const changed = hasChanged(worker, announcement);
  worker.said = mergeAnnouncement(worker.said, announcement);
  if (announcement.state !== 'gone') assignAddress(table, worker.said);
  if (changed) setStanding(table, worker, announcement.state as WorkerStanding);
};

/** Replaces a worker by its new incarnation; nothing of the earlier one is kept. */
const replaceIncarnation: IncarnationHandler = (table, worker, announcement, now) => {
  const { address, born } = worker.said;
  if (table.ownerIds.get(address) === announcement.workerId) table.ownerIds.delete(address);
  const superseded = addSuperseded(worker.superseded, born);
  addWorker(table, mergeAnnouncement(worker.said, announcement), superseded, now);
};

const applyUnprovenIncarnation: IncarnationHandler = (table, worker, announcement, now) => {
  if (isProven(worker.unproven, announcement, worker.lastSeenAt, now)) {
    replaceIncarnation(table, worker, announcement, now);
    return;
  }
  const { born, sequence } = announcement;
  const isNew = worker.unproven?.born !== born || worker.lastSeenAt >= worker.unproven.firstSeenAt;
  if (isNew) worker.unproven = { born, sequence, firstSeenAt: now };
};

const incarnationHandlers: Record<IncarnationRelation, IncarnationHandler> = {
  same: applySameIncarnation,
  newer: replaceIncarnation,
  unproven: applyUnprovenIncarnation,
  older: () => undefined,
};

/**
 * Determines which incarnation of a tracked server an announcement comes from. A deregistration of
 * an unknown server may lack the start time. What reports one afterwards may be the same
 * incarnation, heard late, so it has to prove that it is a later one.
 */
export const compareWorker = (
  { said: { born }, superseded, standing }: TrackedWorker,
  announcement: WorkerAnnouncement,
): IncarnationRelation => {
  const relation = compareIncarnation({ born, superseded }, announcement);
  const mayBeSame = standing === 'gone' && born === NO_START_TIME;
  return relation === 'newer' && mayBeSame ? 'unproven' : relation;
};

/**
 * Applies an announcement of a backend server.
 *
 * Ignores late announcements: those with a lower sequence number than the newest one of their
 * incarnation, those of a superseded incarnation, those of an incarnation that is `gone`, and those
 * with an address that another server uses.
 *
 * @example
 * applyAnnouncement(table, announcement, clock.now());
 */
export const applyAnnouncement = (
  table: WorkerTable,
  announcement: WorkerAnnouncement,
  now: number,
): void => {
  const worker = table.workers.get(announcement.workerId);
  if (isAddressInUse(table, announcement, now)) return;
  if (worker) {
    incarnationHandlers[compareWorker(worker, announcement)](table, worker, announcement, now);
  } else if (table.workers.size < MAX_WORKERS) {
    addWorker(table, announcement, [], now);
  }
};

const hasLostAddress = ({ ownerIds }: WorkerTable, { said }: TrackedWorker): boolean => {
  const ownerId = ownerIds.get(said.address);
  return ownerId !== undefined && ownerId !== said.workerId;
};

/**
 * Marks servers as silent after their timeout, and as `gone` if they do not take their address back
 * from another server. Removes servers that are not ready and have not announced themselves for a
 * long time.
 *
 * @example
 * expireWorkers(table, clock.now());
 */
export const expireWorkers = (table: WorkerTable, now: number): void => {
  table.workers.forEach((worker, id) => {
    const silentMs = now - worker.lastSeenAt;
    if (worker.standing === 'ready' && silentMs > WORKER_TIMEOUT_MS) {
      setStanding(table, worker, 'silent');
    }
    const isDisplaced = worker.standing === 'silent' && hasLostAddress(table, worker);
    if (isDisplaced && silentMs > DISPLACED_RETENTION_MS) setStanding(table, worker, 'gone');
    if (worker.standing === 'ready' || silentMs <= GONE_RETENTION_MS) return;
    table.workers.delete(id);
    if (table.ownerIds.get(worker.said.address) === id) table.ownerIds.delete(worker.said.address);
  });
};

/**
 * Counts backend servers by standing.
 *
 * @example
 * const ready = countByStanding(table).get('ready') ?? 0;
 */
export const countByStanding = ({ workers }: WorkerTable): ReadonlyMap<WorkerStanding, number> => (
  [...workers.values()].reduce(
    (counts, { standing }) => counts.set(standing, (counts.get(standing) ?? 0) + 1),
    new Map<WorkerStanding, number>(),
  )
);

/**
 * Whether servers of one service have or had recently several software versions.
 *
 * @example
 * if (hasMixedService(table)) copyStreamOriginsSoon();
 */
export const hasMixedService = ({ workers }: WorkerTable): boolean => {
  const versions = new Map<string, string>();
  return [...workers.values()].some(({ said: { service, software } }) => {
    const other = versions.get(service);
    versions.set(service, software);
    return other !== undefined && other !== software;
  });
};
