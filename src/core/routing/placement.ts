/**
 * Which request gets which slot of which model engine, decided in one place for all entries.
 *
 * It answers bursts: entries that choose for themselves, on loads that are a fifth of a second old,
 * all send to the same engine, where requests then wait in the order they came while another engine
 * idles. Here every slot is known, none is given twice, and what waits is served by rank.
 */
import { NO_RESTRICTION } from '../quarantine/placementRestriction';
import type { RestrictionFinder, RestrictionKind, PlacementRestriction } from '../quarantine/placementRestriction';
import { makeArrivalRates, recordArrival } from './arrivalRates';
import type { SlotRequest, PlacedRequest, PlacementTables } from './placementTables';
import { chooseIsolatedWorker, chooseFreeWorker, readRestriction } from './freeSlot';
import { makeComparator } from './placementOrder';
import { computeMaxWaitMs, estimateWaitMs } from './placementWait';
import {
  recordAnswer, recordPace, clearSuspension, suspendWorker,
} from './routedWorkers';
import type { RoutedWorker, RoutedWorkers, TimedTokens } from './routedWorkers';
import type { WorkerChoice } from './workerChoice';

/** What was decided of a request. */
export type PlacementDecision = | {
  readonly kind: 'grant';
  readonly id: string;
  readonly workerId: string;
  readonly expectedMs: number;
}
  | {
    readonly kind: 'refuse';
    readonly id: string;
    readonly code: 'noSlotInTime' | 'requestQuarantined';
    readonly reason: string;
    readonly retryAfterMs: number;
  };

/** How a placed request goes. */
export interface PlacementUpdate {
  readonly id: string;
  readonly phase: 'running' | 'ended' | 'failed' | 'dropped' | 'rejected' | 'unreached';
  readonly paceMs: number;
  readonly firstEventMs: number;
  readonly outputMs: number;
}

/**
 * Time after which a refused caller may come back, in milliseconds. One that comes back while the
 * burst lasts is refused again, which helps nobody, so it is told a time in the order of a burst;
 * those that were refused together come back one after the other.
 */
const MIN_RETRY_MS = 2_000;
const MAX_RETRY_MS = 5_000;
const RETRY_SPREAD_STEPS = 8;
const RETRY_SPREAD_STEP_MS = 250;
/** Bounds what waits, over all services. */
const MAX_WAITING = 4_096;

/** Makes empty tables over the backend servers. */
export const makePlacementTables = (
  workers: RoutedWorkers,
  findCaution: RestrictionFinder = () => NO_RESTRICTION,
): PlacementTables => ({
  workers,
  waiting: new Map(),
  placed: new Map(),
  arrivalRates: makeArrivalRates(),
  findRestriction: findCaution,
  refusals: 0,
});

const refuse = (
  tables: PlacementTables,
  ask: SlotRequest,
  now: number,
  reason: string,
): PlacementDecision => {
  tables.waiting.delete(ask.id);
  tables.refusals += 1;
  const waitMs = estimateWaitMs(tables, ask, now);
  const spreadMs = (tables.refusals % RETRY_SPREAD_STEPS) * RETRY_SPREAD_STEP_MS;
  return {
    kind: 'refuse',
    id: ask.id,
    code: 'noSlotInTime',
    reason,
    retryAfterMs: Math.round(Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, waitMs) + spreadMs)),
  };
};

const grant = (
  tables: PlacementTables,
  ask: SlotRequest,
  { worker, waitMs, ownMs }: WorkerChoice,
  now: number,
): PlacementDecision => {
  tables.waiting.delete(ask.id);
  tables.placed.set(ask.id, {
    request: ask,
    worker,
    placedAt: now,
    pendingTokensBefore: worker.pendingTokens + worker.othersPendingTokens,
    hasStarted: false,
  });
  worker.inFlight += 1;
  worker.pendingTokens += ask.promptTokens;
  return {
    kind: 'grant', id: ask.id, workerId: worker.id, expectedMs: Math.round(waitMs + ownMs),
  };
};

/**
 * Services that have been found without a free slot, so that nobody else is tried in vain; with
 * the servers that were left out, as others may have free slots there.
 */
type FullServices = Set<string>;

const formatFullKey = ({ service, avoidedIds = [] }: SlotRequest): string => [service, ...avoidedIds].join(' ');

const refuseQuarantined = (
  tables: PlacementTables,
  ask: SlotRequest,
  { refusedMs }: PlacementRestriction,
): PlacementDecision => {
  tables.waiting.delete(ask.id);
  return {
    kind: 'refuse',
    id: ask.id,
    code: 'requestQuarantined',
    reason: `backend servers ended under request "${ask.fingerprint ?? ''}" each time`,
    retryAfterMs: refusedMs,
  };
};

const chooseIfNotFull = (
  tables: PlacementTables,
  ask: SlotRequest,
  full: FullServices,
  now: number,
): WorkerChoice | undefined => {
  if (full.has(ask.service) || full.has(formatFullKey(ask))) return undefined;
  const choice = chooseFreeWorker(tables, ask, now);
  if (!choice) full.add(formatFullKey(ask));
  return choice;
};

const decideWaiting = (
  tables: PlacementTables,
  ask: SlotRequest,
  full: FullServices,
  now: number,
): PlacementDecision | undefined => {
  const caution = readRestriction(tables, ask);
  if (caution.kind === 'refused') return refuseQuarantined(tables, ask, caution);
  const choosers: Record<RestrictionKind, () => WorkerChoice | undefined> = {
    none: () => chooseIfNotFull(tables, ask, full, now),
    alone: () => chooseIsolatedWorker(tables, ask, now),
    held: () => undefined,
    refused: () => undefined,
  };
  const choice = choosers[caution.kind]();
  if (choice) return grant(tables, ask, choice, now);
  const isOver = now - ask.askedAt > computeMaxWaitMs(tables, ask);
  return isOver ? refuse(tables, ask, now, 'no slot was free in time') : undefined;
};

/**
 * Gives free slots to what waits, in its order, and refuses what has waited too long to be answered
 * on time.
 *
 * @example
 * const decisions = runPlacement(tables, clock.now());
 */
export const placeWaiting = (tables: PlacementTables, now: number): PlacementDecision[] => {
  const full: FullServices = new Set();
  return [...tables.waiting.values()]
    .sort(makeComparator(tables))
    .flatMap((ask) => decideWaiting(tables, ask, full, now) ?? []);
};

const addWaiting = (
  tables: PlacementTables,
  ask: SlotRequest,
  now: number,
): PlacementDecision | undefined => {
  recordArrival(tables.arrivalRates, ask.service, ask.rank, now);
  if (tables.waiting.size >= MAX_WAITING) return refuse(tables, ask, now, 'too many requests wait');
  tables.waiting.set(ask.id, ask);
  return undefined;
};

const refuseLongWait = (
  tables: PlacementTables,
  ask: SlotRequest,
  now: number,
): PlacementDecision | undefined => {
  const isTooLong = tables.workers.mechanisms.earlyRefusal
    && tables.waiting.has(ask.id)
    && estimateWaitMs(tables, ask, now) > computeMaxWaitMs(tables, ask);
  return isTooLong ? refuse(tables, ask, now, 'the wait for a slot would be too long') : undefined;
};

/**
 * Takes in requests that came together. One that would wait too long is refused at once: its caller
 * can come back when the burst is over, and no time is spent on it meanwhile. The last in order are
 * looked at first, as they leave room for those before them.
 *
 * @example
 * const decisions = askPlaces(tables, [ask], clock.now());
 */
export const requestSlots = (
  tables: PlacementTables,
  asks: readonly SlotRequest[],
  now: number,
): PlacementDecision[] => {
  const fresh = asks.filter(({ id }) => !tables.waiting.has(id) && !tables.placed.has(id));
  const refusedAsFull = fresh.flatMap((ask) => addWaiting(tables, ask, now) ?? []);
  const decisions = placeWaiting(tables, now);
  const refusedForWait = [...fresh]
    .sort(makeComparator(tables))
    .reverse()
    .flatMap((ask) => refuseLongWait(tables, ask, now) ?? []);
  return [...refusedAsFull, ...decisions, ...refusedForWait];
};

/** Takes a request out that nobody waits for any more. */
export const removeWaiting = (tables: PlacementTables, id: string): void => {
  tables.waiting.delete(id);
};

const releaseSlot = (
  tables: PlacementTables,
  { request: ask, worker, hasStarted: hasBegun }: PlacedRequest,
): RoutedWorker => {
  tables.placed.delete(ask.id);
  worker.inFlight -= 1;
  if (!hasBegun) worker.pendingTokens -= ask.promptTokens;
  return worker;
};

const markStarted = (placed: PlacedRequest): void => {
  if (placed.hasStarted) return;
  placed.hasStarted = true;
  placed.worker.pendingTokens -= placed.request.promptTokens;
};

const makeTimedTokens = (ms: number, tokens: number): TimedTokens | undefined => (
  ms > 0 ? { ms, tokens } : undefined
);

type UpdateHandler = (
  tables: PlacementTables, placed: PlacedRequest, news: PlacementUpdate, now: number,
) => void;

const makeEndHandler = (isFailed: boolean): UpdateHandler => (tables, placed, news, now) => {
  const { request: ask, placedAt, pendingTokensBefore: pendingBefore } = placed;
  const worker = releaseSlot(tables, placed);
  if (!isFailed) clearSuspension(worker);
  recordAnswer(tables.workers, worker, {
    holdMs: now - placedAt,
    paceMs: 0,
    firstEvent: makeTimedTokens(news.firstEventMs, ask.promptTokens + pendingBefore),
    output: makeTimedTokens(news.outputMs, ask.outputTokens),
    failed: isFailed,
  });
};

const suspend: UpdateHandler = (tables, placed, news, now) => {
  suspendWorker(releaseSlot(tables, placed), now);
};

const updateHandlers: Record<PlacementUpdate['phase'], UpdateHandler> = {
  running: (tables, placed, news) => {
    markStarted(placed);
    if (news.paceMs > 0) recordPace(placed.worker, news.paceMs);
  },
  ended: makeEndHandler(false),
  failed: makeEndHandler(true),
  dropped: (tables, placed) => {
    releaseSlot(tables, placed);
  },
  rejected: suspend,
  unreached: suspend,
};

/**
 * Takes in how a placed request goes.
 *
 * @example
 * notePlaced(tables, { id, phase: 'ended', paceMs: 0, firstEventMs: 180, outputMs: 640 }, now);
 */
export const applyPlacementUpdate = (tables: PlacementTables, news: PlacementUpdate, now: number): void => {
  const placed = tables.placed.get(news.id);
  if (placed) updateHandlers[news.phase](tables, placed, news, now);
  else if (news.phase === 'dropped') removeWaiting(tables, news.id);
};

/**
 * Frees what an entry has placed and does not hold: the reply was lost with the connection that
 * carried it. Without this its slot stays taken until the request's deadline.
 *
 * @example
 * keepPlaced(tables, 'e1', new Set(['p7']));
 */
export const retainPlaced = (
  tables: PlacementTables,
  entryId: string,
  held: ReadonlySet<string>,
): void => {
  [...tables.placed.values()]
    .filter(({ request: ask }) => ask.entryId === entryId && !held.has(ask.id))
    .forEach((placed) => releaseSlot(tables, placed));
};

/**
 * Frees what an entry holds that has gone, and what must have ended by its deadline: its report was
 * lost.
 *
 * @example
 * expirePlaced(tables, (entryId) => entries.has(entryId), clock.now());
 */
export const expirePlaced = (
  tables: PlacementTables,
  isThere: (entryId: string) => boolean,
  now: number,
): void => {
  [...tables.placed.values()]
    .filter(({ request: ask }) => now > ask.deadlineAt || !isThere(ask.entryId))
    .forEach((placed) => releaseSlot(tables, placed));
  [...tables.waiting.values()]
    .filter(({ entryId }) => !isThere(entryId))
    .forEach(({ id }) => tables.waiting.delete(id));
};
