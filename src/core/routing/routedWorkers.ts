import type { WorkerAnnouncement, WorkerRecord } from '../../protocol/generated/beechlift';
import { DepartedWorkers } from './departedWorkers';
import { addSample, makeLinearFit } from './linearFit';
import type { LinearFit } from './linearFit';
import { makeMechanisms } from './mechanisms';
import type { Mechanisms } from './mechanisms';
import { ServiceVersions } from './serviceVersions';
import { NO_BACKOFF } from './workerBackoff';
import type { WorkerBackoff } from './workerBackoff';
import { NO_RATE_LIMIT } from './workerRateLimit';
import type { WorkerRateLimit } from './workerRateLimit';
import { estimateSlowness, findFastestPace } from './workerSlowness';
import type { WorkerStanding } from './workerTable';

/** A time without requests that doubles each time it is needed again. */
export interface Suspension {
  /** Its end, monotonic milliseconds. */
  suspendedUntil: number;
  /** Length of the next one. */
  suspensionMs: number;
}

/** A backend server from the point of view of one entry. */
export interface RoutedWorker extends Suspension {
  readonly id: string;
  /** Identifies its incarnation: another one under the same id counts as another server. */
  readonly born: number;
  /** Version of its software, empty if it announces none; another one is another incarnation. */
  readonly software: string;
  service: string;
  address: string;
  zone: string;
  slots: number;
  standing: WorkerStanding;
  /** Whether it has started recently and still answers slowly. */
  isCold: boolean;
  /** Open requests of this entry at the server. */
  inFlight: number;
  /** Those of them that the current leader of control placed. */
  placed: number;
  /** Those of them that the current delegate of the leader placed. */
  delegated: number;
  /** Whether another control replica grants its slots; never at an entry. */
  isLent: boolean;
  /** Prompt tokens of this entry's open requests whose answers have not started. */
  pendingTokens: number;
  /** Open requests of all other entries at the server, as last reported. */
  othersInFlight: number;
  othersPendingTokens: number;
  /** Smoothed time per unit of work at this server: a stream event, or a whole answer. */
  paceMs: number;
  paceSamples: number;
  /** Slowness observed by the other entries; 0 without observations. */
  othersSlowness: number;
  /** Smoothed share of failures among its answers. */
  failureShare: number;
  /** Backoff that it requested from this entry. */
  backoff: WorkerBackoff;
  /** Whether it reported in an answer that it is leaving. */
  isLeaving: boolean;
  rateLimit: WorkerRateLimit;
}

/** Statistics of a service over all its backend servers. */
export interface ServiceStats {
  /** Smoothed time that a request holds a slot, in milliseconds. */
  holdMs: number;
  /** Time to the first event on the fastest server, by prompt tokens to be processed before it. */
  readonly firstEvent: LinearFit;
  /** Time from the first to the last event on the fastest server, by allowed output tokens. */
  readonly output: LinearFit;
  failureShare: number;
  /** Smoothed share of recent requests that waited for a slot or got none. */
  queuedShare: number;
}

/** The backend servers that an entry knows, and their statistics. */
export interface RoutedWorkers {
  readonly byId: Map<string, RoutedWorker>;
  readonly byService: Map<string, RoutedWorker[]>;
  readonly serviceStats: Map<string, ServiceStats>;
  readonly versions: ServiceVersions;
  readonly departures: DepartedWorkers;
  /** Most open requests of this entry per server, by service; a missing service has no limit. */
  connectionShares: ReadonlyMap<string, number>;
  readonly mechanisms: Mechanisms;
}

/** Time that a number of tokens took. */
export interface TimedTokens {
  readonly ms: number;
  readonly tokens: number;
}

/** Timing of one answer, measured by the entry that relayed it. */
export interface AnswerSample {
  readonly holdMs: number;
  /** Time of a whole plain answer; 0 for a stream, whose pace is recorded while it runs. */
  readonly paceMs: number;
  /** Time to the first event, and the prompt tokens to be processed before it. */
  readonly firstEvent: TimedTokens | undefined;
  /** Time from the first to the last event, and the allowed output tokens. */
  readonly output: TimedTokens | undefined;
  readonly failed: boolean;
}

/** Initial estimates until there are samples: those of a mid-sized engine. */
const INITIAL_HOLD_MS = 500;
const INITIAL_BASE_MS = 100;
const INITIAL_PROMPT_TOKEN_MS = 0.02;
const INITIAL_OUTPUT_TOKEN_MS = 5;

/** A request that got its slot after at least this time, in milliseconds, waited for it. */
const QUEUED_MS = 50;

/** Weight of one sample: about ten of them replace the previous value. */
const SMOOTHING = 0.2;

/** Shortest and longest suspension of a server that a request did not reach. */
const MIN_SUSPENSION_MS = 300;
const MAX_SUSPENSION_MS = 5_000;

const smooth = (old: number, sample: number): number => old + SMOOTHING * (sample - old);

/** Makes the suspension of what was never suspended. */
export const makeSuspension = (): Suspension => ({
  suspendedUntil: 0, suspensionMs: MIN_SUSPENSION_MS,
});

/** Makes empty tables. */
export const makeRoutedWorkers = (mechanisms = makeMechanisms()): RoutedWorkers => ({
  byId: new Map(),
  byService: new Map(),
  serviceStats: new Map(),
  versions: new ServiceVersions(),
  departures: new DepartedWorkers(),
  connectionShares: new Map(),
  mechanisms,
});

/** What identifies an incarnation of a server. */
type WorkerIdentity = Pick<RoutedWorker, 'id' | 'born' | 'software'>;

const makeWorker = (identity: WorkerIdentity): RoutedWorker => ({
  ...identity,
  service: '',
  address: '',
  zone: '',
  slots: 1,
  standing: 'ready',
  isCold: false,
  inFlight: 0,
  placed: 0,
  delegated: 0,
  isLent: false,
  pendingTokens: 0,
  othersInFlight: 0,
  othersPendingTokens: 0,
  paceMs: 0,
  paceSamples: 0,
  othersSlowness: 0,
  failureShare: 0,
  ...makeSuspension(),
  backoff: NO_BACKOFF,
  isLeaving: false,
  rateLimit: NO_RATE_LIMIT,
});

const indexByService = (workers: RoutedWorkers): void => {
  workers.byService.clear();
  workers.byId.forEach((worker) => {
    if (worker.standing === 'gone') return;
    const list = workers.byService.get(worker.service) ?? [];
    list.push(worker);
    workers.byService.set(worker.service, list);
  });
};

/*
 * Gives a restarted server fresh statistics and counts, independent of its earlier incarnation's
 * pace, failures, suspension and open requests. Requests that are still open at the earlier
 * incarnation remain counted on its own object.
 */
const findOrMakeWorker = (
  { byId }: RoutedWorkers,
  { workerId: id, born, software }: WorkerAnnouncement,
): RoutedWorker => {
  const existing = byId.get(id);
  const isSame = existing?.born === born && existing.software === software;
  return isSame ? existing : makeWorker({ id, born, software });
};

const applyRecord = (
  workers: RoutedWorkers,
  { said: announcement, standing }: WorkerRecord,
  now: number,
): void => {
  if (!announcement) return;
  const { departures } = workers;
  if (standing === 'ready' && departures.isOutdated(announcement, now)) return;
  departures.record(announcement, standing as WorkerStanding, now);
  const worker = findOrMakeWorker(workers, announcement);
  worker.service = announcement.service || worker.service;
  worker.address = announcement.address || worker.address;
  worker.zone = announcement.zone || worker.zone;
  worker.slots = Math.max(1, announcement.slots || worker.slots);
  worker.standing = standing as WorkerStanding;
  worker.isCold = announcement.coldMs > 0;
  workers.byId.set(worker.id, worker);
  workers.versions.record(worker.service, worker.software, now);
};

const removeGoneWorkers = (workers: RoutedWorkers): void => {
  [...workers.byId.values()]
    .filter(({ standing, inFlight }) => standing === 'gone' && inFlight === 0)
    .forEach(({ id }) => workers.byId.delete(id));
};

/**
 * Applies records of backend servers that changed.
 *
 * @example
 * applyRecords(workers, reply.workers, clock.now());
 */
export const applyRecords = (
  workers: RoutedWorkers,
  records: readonly WorkerRecord[],
  now: number,
): void => {
  if (records.length === 0) return;
  records.forEach((record) => applyRecord(workers, record, now));
  removeGoneWorkers(workers);
  indexByService(workers);
};

/** A service, and the connections that each of its servers accepts from all entries together. */
export interface ConnectionLimit {
  readonly name: string;
  /** 0 when there is no limit. */
  readonly maxConnections: number;
}

/**
 * Divides the connections that servers accept among the entries.
 *
 * A server resets connections beyond its limit. Each connection carries one request, so the open
 * requests of an entry at a server are limited to its share.
 *
 * @example
 * setConnectionShares(workers, routing.services, 8); // 12 per entry if servers accept 96
 */
export const setConnectionShares = (
  workers: RoutedWorkers,
  services: readonly ConnectionLimit[],
  entryCount: number,
): void => {
  workers.connectionShares = new Map(services
    .filter(({ maxConnections }) => maxConnections > 0)
    .map(({ name, maxConnections }) => (
      [name, Math.max(1, Math.floor(maxConnections / Math.max(1, entryCount)))])));
};

/** Finds the statistics of a service, or adds initial ones. */
export const findServiceStats = (workers: RoutedWorkers, service: string): ServiceStats => {
  const existing = workers.serviceStats.get(service);
  if (existing) return existing;
  const stats = {
    holdMs: INITIAL_HOLD_MS,
    firstEvent: makeLinearFit(INITIAL_BASE_MS, INITIAL_PROMPT_TOKEN_MS),
    output: makeLinearFit(0, INITIAL_OUTPUT_TOKEN_MS),
    failureShare: 0,
    queuedShare: 0,
  };
  workers.serviceStats.set(service, stats);
  return stats;
};

const addTimedSample = (fit: LinearFit, { ms, tokens }: TimedTokens, slowness: number): void => {
  addSample(fit, tokens, ms / slowness);
};

/**
 * Records the time that a unit of work took at a server. For a stream this happens while it runs,
 * so that a slow server is detected before its first long stream has ended.
 */
export const recordPace = (worker: RoutedWorker, paceMs: number): void => {
  worker.paceMs = worker.paceSamples === 0 ? paceMs : smooth(worker.paceMs, paceMs);
  worker.paceSamples += 1;
};

/**
 * Records how long a request waited until it got a slot; Infinity if it got none.
 *
 * @example
 * recordSlotWait(workers, 'scribe', 3);
 */
export const recordSlotWait = (workers: RoutedWorkers, service: string, waitedMs: number): void => {
  const stats = findServiceStats(workers, service);
  stats.queuedShare = smooth(stats.queuedShare, waitedMs >= QUEUED_MS ? 1 : 0);
};

/** Records the timing of one answer. */
export const recordAnswer = (
  workers: RoutedWorkers,
  worker: RoutedWorker,
  sample: AnswerSample,
): void => {
  const stats = findServiceStats(workers, worker.service);
  worker.failureShare = smooth(worker.failureShare, sample.failed ? 1 : 0);
  stats.failureShare = smooth(stats.failureShare, sample.failed ? 1 : 0);
  if (sample.failed) return;
  stats.holdMs = smooth(stats.holdMs, sample.holdMs);
  const fastestMs = findFastestPace(workers, worker.service);
  const slowness = Math.max(1, estimateSlowness(workers, worker, fastestMs));
  if (sample.firstEvent) addTimedSample(stats.firstEvent, sample.firstEvent, slowness);
  if (sample.output) addTimedSample(stats.output, sample.output, slowness);
  if (sample.paceMs > 0) recordPace(worker, sample.paceMs);
};

/**
 * Suspends a server that a request did not reach, or whose connection broke.
 *
 * @param maxMs longest suspension, in milliseconds
 */
export const suspendWorker = (
  suspension: Suspension,
  now: number,
  maxMs = MAX_SUSPENSION_MS,
): void => {
  if (now < suspension.suspendedUntil) return;
  suspension.suspendedUntil = now + suspension.suspensionMs;
  suspension.suspensionMs = Math.min(maxMs, suspension.suspensionMs * 2);
};

/** Whether a server accepts new requests, according to control and to its own answers. */
export const isReady = ({ standing, isLeaving }: RoutedWorker): boolean => (
  standing === 'ready' && !isLeaving
);

/** Whether a server has a slot that no known request holds. */
export const hasFreeSlot = ({ inFlight, othersInFlight, slots }: RoutedWorker): boolean => (
  inFlight + othersInFlight < slots
);

/** Whether requests are expected to reach a server. */
export const isReachable = (
  { mechanisms }: RoutedWorkers,
  { suspendedUntil }: RoutedWorker,
  now: number,
): boolean => now >= suspendedUntil || !mechanisms.suspension;

/** Ends the suspension of a server, because it answered a request. */
export const clearSuspension = (suspension: Suspension): void => {
  Object.assign(suspension, makeSuspension());
};
