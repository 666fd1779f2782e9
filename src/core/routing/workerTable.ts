import type {
  WorkerAnnouncement, WorkerRecord,
} from '../../protocol/generated/beechlift';
import {
  addSuperseded, isProven, compareIncarnation, NO_START_TIME,
} from './workerIncarnation';
import type { IncarnationRelation, UnprovenIncarnation } from './workerIncarnation';

/** Where a backend server stands: it takes work only when it is ready. */
export type WorkerStanding = 'ready' | 'draining' | 'gone' | 'silent';

/** A backend server as the table knows it. */
export interface TrackedWorker {
  said: WorkerAnnouncement;
  standing: WorkerStanding;
  /** When it was last heard, monotonic milliseconds. */
  lastSeenAt: number;
  /** The table's revision at which it last changed. */
  revision: number;
  /** When its present start was first heard, monotonic milliseconds. */
  readonly firstSeenAt: number;
  /** Births of its earlier starts, oldest first. */
  superseded: readonly number[];
  /** A start that may be the later one although it was born earlier. */
  unproven: UnprovenIncarnation | undefined;
}

/** All backend servers that have announced themselves. */
export interface WorkerTable {
  /** Names the table that revisions count in; another leader has another one. */
  readonly epoch: string;
  revision: number;
  readonly workers: Map<string, TrackedWorker>;
  /** Backend server that holds an address, by address. */
  readonly idByAddress: Map<string, string>;
}

/**
 * Silence after which a backend server takes no more work, in milliseconds: four of the usual
 * announcements of 1.2 s, so that one which is late by a second or two is not taken for a death.
 */
export const WORKER_TIMEOUT_MS = 5_000;

/** How long one that has left is remembered, so that a late announcement does not revive it. */
const GONE_RETENTION_MS = 300_000;

/**
 * How long after a new start of a server a farewell that names no start may be the one before's, in
 * milliseconds: announcements come seconds late, and a server that has just started does not leave.
 */
const LATE_DEREGISTRATION_MS = 10_000;

/** Bounds the table, the ones that left included. */
const MAX_WORKERS = 20_000;

/** Makes an empty table. */
export const makeWorkerTable = (epoch: string): WorkerTable => ({
  epoch, revision: 0, workers: new Map(), idByAddress: new Map(),
});

const setStanding = (table: WorkerTable, worker: TrackedWorker, standing: WorkerStanding): void => {
  table.revision += 1;
  worker.standing = standing;
  worker.revision = table.revision;
};

/*
 * Guards against an announcement that was on its way while its sender crashed and another server
 * took its address: the address belongs to the newcomer, and the one before stays gone for good.
 */
const assignAddress = (table: WorkerTable, { workerId, address }: WorkerAnnouncement): void => {
  const holder = table.idByAddress.get(address);
  const before = holder === undefined ? undefined : table.workers.get(holder);
  if (before && holder !== workerId && before.standing !== 'gone') {
    setStanding(table, before, 'gone');
  }
  table.idByAddress.set(address, workerId);
};

const makeTrackedWorker = (
  said: WorkerAnnouncement,
  superseded: readonly number[],
  now: number,
): TrackedWorker => ({
  said,
  standing: 'ready',
  lastSeenAt: now,
  revision: 0,
  firstSeenAt: now,
  superseded,
  unproven: undefined,
});

const addWorker = (
  table: WorkerTable,
  said: WorkerAnnouncement,
  superseded: readonly number[],
  now: number,
): void => {
  const worker = makeTrackedWorker(said, superseded, now);
  table.workers.set(said.workerId, worker);
  if (said.state !== 'gone') assignAddress(table, said);
  setStanding(table, worker, said.state as WorkerStanding);
};

const isOlder = (said: WorkerAnnouncement, known: WorkerAnnouncement): boolean => (
  said.state !== 'gone' && said.sequence < known.sequence
);

const hasChanged = (worker: TrackedWorker, said: WorkerAnnouncement): boolean => {
  const before = worker.said;
  return worker.standing !== said.state
    || before.address !== said.address
    || before.slots !== said.slots
    || before.service !== said.service
    || (before.coldMs > 0) !== (said.coldMs > 0);
};

/** Leaving is announced by name alone: what was said before still tells the address. */
const mergeAnnouncement = (before: WorkerAnnouncement, said: WorkerAnnouncement): WorkerAnnouncement => (
  said.state === 'gone' ? { ...before, born: said.born || before.born, state: 'gone' } : said
);

/*
 * Guards a server that has just started again against a farewell of its start before, where the
 * farewell names none: no work goes there until it says again that it is ready, and it is not taken
 * out for good.
 */
const isAmbiguousDeregistration = (worker: TrackedWorker, said: WorkerAnnouncement, now: number): boolean => (
  said.state === 'gone'
  && said.born !== worker.said.born
  && worker.superseded.length > 0
  && now - worker.firstSeenAt < LATE_DEREGISTRATION_MS
);

type IncarnationHandler = (
  table: WorkerTable, worker: TrackedWorker, said: WorkerAnnouncement, now: number,
) => void;

const applySameIncarnation: IncarnationHandler = (table, worker, said, now) => {
  if (worker.standing === 'gone' || isOlder(said, worker.said)) return;
  if (isAmbiguousDeregistration(worker, said, now)) {
    setStanding(table, worker, 'draining');
    return;
  }
  worker.lastSeenAt = now;
  const changed = hasChanged(worker, said);
  worker.said = mergeAnnouncement(worker.said, said);
  if (changed) setStanding(table, worker, said.state as WorkerStanding);
};

/** A new start takes over: all that was known of the one before is over with it. */
const replaceIncarnation: IncarnationHandler = (table, worker, said, now) => {
  const { address, born } = worker.said;
  if (table.idByAddress.get(address) === said.workerId) table.idByAddress.delete(address);
  const superseded = addSuperseded(worker.superseded, born);
  addWorker(table, mergeAnnouncement(worker.said, said), superseded, now);
};

const applyUnprovenIncarnation: IncarnationHandler = (table, worker, said, now) => {
  if (isProven(worker.unproven, said, worker.lastSeenAt, now)) {
    replaceIncarnation(table, worker, said, now);
    return;
  }
  const { born, sequence } = said;
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
 * Takes in what a backend server says of itself.
 *
 * Guards against announcements that arrive late: one with a lower number than the newest of its
 * start, from a start that is over, or from a server that is gone, changes nothing.
 *
 * @example
 * noteAnnouncement(table, announcement, clock.now());
 */
export const applyAnnouncement = (
  table: WorkerTable,
  said: WorkerAnnouncement,
  now: number,
): void => {
  const worker = table.workers.get(said.workerId);
  if (worker) {
    const known = { born: worker.said.born, superseded: worker.superseded };
    incarnationHandlers[compareIncarnation(known, said)](table, worker, said, now);
  } else if (table.workers.size < MAX_WORKERS) {
    addWorker(table, said, [], now);
  }
};

/** Whether a record of another replica tells more than what is known here. */
const isNewer = (known: TrackedWorker, said: WorkerAnnouncement): boolean => {
  if (said.born === known.said.born) {
    return known.standing !== 'gone' && known.said.sequence <= said.sequence;
  }
  return said.born !== NO_START_TIME && !known.superseded.includes(said.born);
};

/**
 * Whether a record that was remembered over a restart tells what a table lacks: a server that it
 * does not know, an end, or a later word of a start.
 *
 * @example
 * const missing = records.filter((record) => needsRecord(table, record));
 */
export const needsRecord = (
  { workers }: WorkerTable,
  { said, standing }: WorkerRecord,
): boolean => {
  if (!said) return false;
  const known = workers.get(said.workerId);
  if (!known) return true;
  const relation = compareIncarnation({ born: known.said.born, superseded: known.superseded }, said);
  if (relation !== 'same') return relation === 'newer';
  return known.standing !== 'gone'
    && (standing === 'gone' || known.said.sequence < said.sequence);
};

/** Takes over a record that another replica's table held. */
export const adoptRecord = (
  table: WorkerTable,
  { said, standing, supersededStarts }: WorkerRecord,
  now: number,
): void => {
  if (!said) return;
  const known = table.workers.get(said.workerId);
  if (known && !isNewer(known, said)) {
    known.superseded = supersededStarts.reduce(addSuperseded, known.superseded);
    return;
  }
  if (!known && table.workers.size >= MAX_WORKERS) return;
  const before = known && known.said.born !== said.born ? [known.said.born] : [];
  const superseded = [...known?.superseded ?? [], ...supersededStarts, ...before];
  const worker = makeTrackedWorker(said, superseded.reduce(addSuperseded, []), now);
  table.workers.set(said.workerId, worker);
  if (standing !== 'gone') table.idByAddress.set(said.address, said.workerId);
  setStanding(table, worker, standing as WorkerStanding);
};

/**
 * Sets aside what has been silent for long, and forgets what left long ago.
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
    if (worker.standing === 'ready' || silentMs <= GONE_RETENTION_MS) return;
    table.workers.delete(id);
    if (table.idByAddress.get(worker.said.address) === id) table.idByAddress.delete(worker.said.address);
  });
};

/**
 * Counts backend servers by where they stand.
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
 * Lists what changed since a revision; all of it when the asker counts in another table.
 *
 * @example
 * const records = listChangedWorkers(table, request.workersEpoch, request.workersRevision);
 */
export const listChangedWorkers = (
  table: WorkerTable,
  epoch: string,
  revision: number,
): WorkerRecord[] => {
  const since = epoch === table.epoch ? revision : 0;
  return [...table.workers.values()]
    .filter((worker) => worker.revision > since)
    .map(({ said, standing, superseded }) => (
      { said, standing, supersededStarts: [...superseded] }));
};
