import type { WorkerLoad, WorkerRecord } from '../../protocol/generated/beechlift';
import { addSample, makeLinearFit } from './linearFit';
import type { LinearFit } from './linearFit';
import { makeMechanisms } from './mechanisms';
import type { Mechanisms } from './mechanisms';
import { NO_BACKOFF } from './workerBackoff';
import type { WorkerBackoff } from './workerBackoff';
import { estimateSlowness, findFastestPace } from './workerSlowness';
import type { WorkerStanding } from './workerTable';

/** A backend server as one entry sees it. */
export interface RoutedWorker {
  readonly id: string;
  /** Names its start: another start under the same id is another server here. */
  readonly born: number;
  service: string;
  address: string;
  zone: string;
  slots: number;
  standing: WorkerStanding;
  isCold: boolean;
  /** Requests of this entry that it holds. */
  inFlight: number;
  /** Those of them that the present leader of control placed, and knows of. */
  placed: number;
  /** Prompt tokens of those that have not begun to answer. */
  pendingTokens: number;
  /** What the other entries together have there, as last told. */
  othersInFlight: number;
  othersPendingTokens: number;
  /** Smoothed time a unit of its work takes here: an event of a stream, or a whole answer. */
  paceMs: number;
  paceSamples: number;
  /** Slowness as the other entries observed it; 0 when they did not. */
  othersSlowness: number;
  /** Smoothed share of failures among its answers. */
  failureShare: number;
  /** No request before this, monotonic milliseconds. */
  suspendedUntil: number;
  /** How long the next suspension lasts. */
  suspensionMs: number;
  /** What it asked this entry for. */
  backoff: WorkerBackoff;
  /** Whether it said in an answer that it leaves. */
  isLeaving: boolean;
}

/** What is known of the work of a service, over all its backend servers. */
export interface ServiceStats {
  /** Smoothed time that a request holds a slot, in milliseconds. */
  holdMs: number;
  /** Time to the first event on the fastest server, by prompt tokens to be read until then. */
  readonly firstEvent: LinearFit;
  /** Time from the first event to the last on the fastest server, by output tokens allowed. */
  readonly output: LinearFit;
  failureShare: number;
}

/** All that an entry knows of backend servers. */
export interface RoutedWorkers {
  readonly byId: Map<string, RoutedWorker>;
  readonly byService: Map<string, RoutedWorker[]>;
  readonly serviceStats: Map<string, ServiceStats>;
  /** Requests that this entry may have at one server at a time, by service; none: no bound. */
  connectionShares: ReadonlyMap<string, number>;
  readonly mechanisms: Mechanisms;
}

/** How long some tokens took. */
export interface TimedTokens {
  readonly ms: number;
  readonly tokens: number;
}

/** One answer, as the entry that relayed it timed it. */
export interface AnswerSample {
  readonly holdMs: number;
  /** Time of a whole plain answer; 0 for a stream, whose pace is learnt while it runs. */
  readonly paceMs: number;
  /** Time to the first event, and the prompt tokens that were to be read until then. */
  readonly firstEvent: TimedTokens | undefined;
  /** Time from the first event to the last, and the output tokens that were allowed. */
  readonly output: TimedTokens | undefined;
  readonly failed: boolean;
}

/** First guesses, replaced by what is observed: those of a mid-sized engine. */
const INITIAL_HOLD_MS = 500;
const INITIAL_BASE_MS = 100;
const INITIAL_PROMPT_TOKEN_MS = 0.02;
const INITIAL_OUTPUT_TOKEN_MS = 5;

/** Weight of one observation: about ten of them replace what was known. */
const SMOOTHING = 0.2;

/** Shortest and longest time a server is left alone after a request did not arrive there. */
const MIN_SUSPENSION_MS = 300;
const MAX_SUSPENSION_MS = 5_000;

const smooth = (old: number, sample: number): number => old + SMOOTHING * (sample - old);

/** Makes empty tables. */
export const makeRoutedWorkers = (mechanisms = makeMechanisms()): RoutedWorkers => ({
  byId: new Map(),
  byService: new Map(),
  serviceStats: new Map(),
  connectionShares: new Map(),
  mechanisms,
});

const makeWorker = (id: string, born: number): RoutedWorker => ({
  id,
  born,
  service: '',
  address: '',
  zone: '',
  slots: 1,
  standing: 'ready',
  isCold: false,
  inFlight: 0,
  placed: 0,
  pendingTokens: 0,
  othersInFlight: 0,
  othersPendingTokens: 0,
  paceMs: 0,
  paceSamples: 0,
  othersSlowness: 0,
  failureShare: 0,
  suspendedUntil: 0,
  suspensionMs: MIN_SUSPENSION_MS,
  backoff: NO_BACKOFF,
  isLeaving: false,
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
 * Guards a server that has started again under its id against what was learnt and counted of its
 * start before: pace, failures, pauses and the requests that it held. Requests that are still
 * open towards the earlier start go on counting at the entity they were sent to.
 */
const findOrMakeWorker = ({ byId }: RoutedWorkers, id: string, born: number): RoutedWorker => {
  const known = byId.get(id);
  return known?.born === born ? known : makeWorker(id, born);
};

const applyRecord = (workers: RoutedWorkers, { said, standing }: WorkerRecord): void => {
  if (!said) return;
  const worker = findOrMakeWorker(workers, said.workerId, said.born);
  worker.service = said.service || worker.service;
  worker.address = said.address || worker.address;
  worker.zone = said.zone || worker.zone;
  worker.slots = Math.max(1, said.slots || worker.slots);
  worker.standing = standing as WorkerStanding;
  worker.isCold = said.coldMs > 0;
  workers.byId.set(worker.id, worker);
};

const removeGone = (workers: RoutedWorkers): void => {
  [...workers.byId.values()]
    .filter(({ standing, inFlight }) => standing === 'gone' && inFlight === 0)
    .forEach(({ id }) => workers.byId.delete(id));
};

/**
 * Takes in records of backend servers that changed.
 *
 * @example
 * applyRecords(workers, reply.workers);
 */
export const applyRecords = (
  workers: RoutedWorkers,
  records: readonly WorkerRecord[],
): void => {
  if (records.length === 0) return;
  records.forEach((record) => applyRecord(workers, record));
  removeGone(workers);
  indexByService(workers);
};

/**
 * Takes in what the other entries have at each backend server; one that is not named has nothing.
 *
 * @example
 * applyLoads(workers, reply.loads);
 */
export const applyLoads = (workers: RoutedWorkers, loads: readonly WorkerLoad[]): void => {
  const byId = new Map(loads.map((load) => [load.workerId, load]));
  workers.byId.forEach((worker) => {
    const load = byId.get(worker.id);
    worker.othersInFlight = load?.inFlight ?? 0;
    worker.othersPendingTokens = load?.tokens ?? 0;
    worker.othersSlowness = (load?.slowness ?? 0) / 1_000;
  });
};

/** A service, and the connections that each of its servers takes from all entries together. */
export interface ConnectionLimit {
  readonly name: string;
  /** 0 where there is no bound. */
  readonly maxConnections: number;
}

/**
 * Shares the connections that servers take among the entries.
 *
 * Guards against connections beyond a server's bound, which it resets: they carry one request each,
 * so what an entry has at a server at a time is bounded by its share.
 *
 * @example
 * setConnectionShares(workers, routing.services, 8); // 12 for each entry where servers take 96
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

/** What is known of a service's work. */
export const findServiceStats = (workers: RoutedWorkers, service: string): ServiceStats => {
  const known = workers.serviceStats.get(service);
  if (known) return known;
  const work = {
    holdMs: INITIAL_HOLD_MS,
    firstEvent: makeLinearFit(INITIAL_BASE_MS, INITIAL_PROMPT_TOKEN_MS),
    output: makeLinearFit(0, INITIAL_OUTPUT_TOKEN_MS),
    failureShare: 0,
  };
  workers.serviceStats.set(service, work);
  return work;
};

const addTimedSample = (fit: LinearFit, { ms, tokens }: TimedTokens, slowness: number): void => {
  addSample(fit, tokens, ms / slowness);
};

/**
 * Learns how long a unit of work takes at a server: of a stream while it runs, as a slow server is
 * to be known before its first long stream has ended.
 */
export const recordPace = (worker: RoutedWorker, paceMs: number): void => {
  worker.paceMs = worker.paceSamples === 0 ? paceMs : smooth(worker.paceMs, paceMs);
  worker.paceSamples += 1;
};

/** Learns from one answer. */
export const recordAnswer = (
  workers: RoutedWorkers,
  worker: RoutedWorker,
  sample: AnswerSample,
): void => {
  const work = findServiceStats(workers, worker.service);
  worker.failureShare = smooth(worker.failureShare, sample.failed ? 1 : 0);
  work.failureShare = smooth(work.failureShare, sample.failed ? 1 : 0);
  if (sample.failed) return;
  work.holdMs = smooth(work.holdMs, sample.holdMs);
  const fastestMs = findFastestPace(workers, worker.service);
  const slowness = Math.max(1, estimateSlowness(workers, worker, fastestMs));
  if (sample.firstEvent) addTimedSample(work.firstEvent, sample.firstEvent, slowness);
  if (sample.output) addTimedSample(work.output, sample.output, slowness);
  if (sample.paceMs > 0) recordPace(worker, sample.paceMs);
};

/** A request did not arrive at a server, or its connection broke: it is left alone for a while. */
export const suspendWorker = (worker: RoutedWorker, now: number): void => {
  if (now < worker.suspendedUntil) return;
  worker.suspendedUntil = now + worker.suspensionMs;
  worker.suspensionMs = Math.min(MAX_SUSPENSION_MS, worker.suspensionMs * 2);
};

/** Whether a server takes new requests, by what control told and by its own answers. */
export const isReady = ({ standing, isLeaving }: RoutedWorker): boolean => (
  standing === 'ready' && !isLeaving
);

/** Whether requests may be expected to arrive at a server. */
export const isReachable = (
  { mechanisms }: RoutedWorkers,
  { suspendedUntil }: RoutedWorker,
  now: number,
): boolean => now >= suspendedUntil || !mechanisms.suspension;

/** A request was answered by a server: it is in reach. */
export const clearSuspension = (worker: RoutedWorker): void => {
  worker.suspendedUntil = 0;
  worker.suspensionMs = MIN_SUSPENSION_MS;
};

/** Another leader knows nothing of what the one before placed. */
export const resetPlaced = (workers: RoutedWorkers): void => {
  workers.byId.forEach((worker) => {
    worker.placed = 0;
  });
};

const makeLoad = (
  workers: RoutedWorkers,
  worker: RoutedWorker,
  fastestMs: number | undefined,
): WorkerLoad => ({
  workerId: worker.id,
  inFlight: Math.max(0, worker.inFlight - worker.placed),
  tokens: worker.placed > 0 ? 0 : Math.max(0, worker.pendingTokens),
  slowness: worker.paceSamples > 0
    ? Math.round(1_000 * estimateSlowness(workers, worker, fastestMs))
    : 0,
});

/**
 * Lists what this entry has at each backend server without the leader's knowing, for the leader and
 * the other entries.
 *
 * @example
 * request.loads = listLoads(workers);
 */
export const listLoads = (workers: RoutedWorkers): WorkerLoad[] => (
  [...workers.byService].flatMap(([service, members]) => {
    const fastestMs = findFastestPace(workers, service);
    return members
      .filter(({ inFlight, placed, paceSamples }) => inFlight > placed || paceSamples > 0)
      .map((worker) => makeLoad(workers, worker, fastestMs));
  })
);
