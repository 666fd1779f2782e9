/**
 * Which request gets which slot of which model engine, decided in one place for all entries.
 *
 * It answers bursts: entries that choose for themselves, on loads that are a fifth of a second old,
 * all send to the same engine, where requests then wait in the order they came while another engine
 * idles. Here every slot is known, none is given twice, and what waits is served by rank.
 */
import { NO_CAUTION } from '../quarantine/placementCaution';
import type { CautionFinder, CautionKind, PlacementCaution } from '../quarantine/placementCaution';
import { makeArrivals, noteArrival } from './arrivals';
import type { PlaceAsk, PlacedRequest, PlacementTables } from './placementTables';
import { chooseAlone, chooseFree, readCaution } from './freeSlot';
import { makeOrder } from './placementOrder';
import { computePatienceMs, estimateWaitMs } from './placementWait';
import {
  learnAnswer, learnPace, noteReached, suspendWorker,
} from './routedWorkers';
import type { RoutedWorker, RoutedWorkers, TimedTokens } from './routedWorkers';
import type { WorkerChoice } from './workerChoice';

/** What was decided of a request. */
export type PlaceDecision = | {
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
export interface PlacedNews {
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
const RETRY_STEPS = 8;
const RETRY_STEP_MS = 250;
/** Bounds what waits, over all services. */
const MAX_WAITING = 4_096;

/** Makes empty tables over the backend servers. */
export const makePlacement = (
  workers: RoutedWorkers,
  findCaution: CautionFinder = () => NO_CAUTION,
): PlacementTables => ({
  workers,
  waiting: new Map(),
  placed: new Map(),
  arrivals: makeArrivals(),
  findCaution,
  refusals: 0,
});

const refuse = (
  tables: PlacementTables,
  ask: PlaceAsk,
  now: number,
  reason: string,
): PlaceDecision => {
  tables.waiting.delete(ask.id);
  tables.refusals += 1;
  const waitMs = estimateWaitMs(tables, ask, now);
  const spreadMs = (tables.refusals % RETRY_STEPS) * RETRY_STEP_MS;
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
  ask: PlaceAsk,
  { worker, waitMs, ownMs }: WorkerChoice,
  now: number,
): PlaceDecision => {
  tables.waiting.delete(ask.id);
  tables.placed.set(ask.id, {
    ask,
    worker,
    placedAt: now,
    pendingBefore: worker.pendingTokens + worker.othersPendingTokens,
    hasBegun: false,
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

const nameFull = ({ service, avoidedIds = [] }: PlaceAsk): string => [service, ...avoidedIds].join(' ');

const refuseQuarantined = (
  tables: PlacementTables,
  ask: PlaceAsk,
  { refusedMs }: PlacementCaution,
): PlaceDecision => {
  tables.waiting.delete(ask.id);
  return {
    kind: 'refuse',
    id: ask.id,
    code: 'requestQuarantined',
    reason: `backend servers ended under request "${ask.fingerprint ?? ''}" each time`,
    retryAfterMs: refusedMs,
  };
};

const chooseUnlessFull = (
  tables: PlacementTables,
  ask: PlaceAsk,
  full: FullServices,
  now: number,
): WorkerChoice | undefined => {
  if (full.has(ask.service) || full.has(nameFull(ask))) return undefined;
  const choice = chooseFree(tables, ask, now);
  if (!choice) full.add(nameFull(ask));
  return choice;
};

const decideWaiting = (
  tables: PlacementTables,
  ask: PlaceAsk,
  full: FullServices,
  now: number,
): PlaceDecision | undefined => {
  const caution = readCaution(tables, ask);
  if (caution.kind === 'refused') return refuseQuarantined(tables, ask, caution);
  const choosers: Record<CautionKind, () => WorkerChoice | undefined> = {
    none: () => chooseUnlessFull(tables, ask, full, now),
    alone: () => chooseAlone(tables, ask, now),
    held: () => undefined,
    refused: () => undefined,
  };
  const choice = choosers[caution.kind]();
  if (choice) return grant(tables, ask, choice, now);
  const isOver = now - ask.askedAt > computePatienceMs(tables, ask);
  return isOver ? refuse(tables, ask, now, 'no slot was free in time') : undefined;
};

/**
 * Gives free slots to what waits, in its order, and refuses what has waited too long to be answered
 * on time.
 *
 * @example
 * const decisions = runPlacement(tables, clock.now());
 */
export const runPlacement = (tables: PlacementTables, now: number): PlaceDecision[] => {
  const full: FullServices = new Set();
  return [...tables.waiting.values()]
    .sort(makeOrder(tables))
    .flatMap((ask) => decideWaiting(tables, ask, full, now) ?? []);
};

const addWaiting = (
  tables: PlacementTables,
  ask: PlaceAsk,
  now: number,
): PlaceDecision | undefined => {
  noteArrival(tables.arrivals, ask.service, ask.rank, now);
  if (tables.waiting.size >= MAX_WAITING) return refuse(tables, ask, now, 'too many requests wait');
  tables.waiting.set(ask.id, ask);
  return undefined;
};

const refuseHopeless = (
  tables: PlacementTables,
  ask: PlaceAsk,
  now: number,
): PlaceDecision | undefined => {
  const isHopeless = tables.workers.mechanisms.earlyRefusal
    && tables.waiting.has(ask.id)
    && estimateWaitMs(tables, ask, now) > computePatienceMs(tables, ask);
  return isHopeless ? refuse(tables, ask, now, 'the wait for a slot would be too long') : undefined;
};

/**
 * Takes in requests that came together. One that would wait too long is refused at once: its caller
 * can come back when the burst is over, and no time is spent on it meanwhile. The last in order are
 * looked at first, as they leave room for those before them.
 *
 * @example
 * const decisions = askPlaces(tables, [ask], clock.now());
 */
export const askPlaces = (
  tables: PlacementTables,
  asks: readonly PlaceAsk[],
  now: number,
): PlaceDecision[] => {
  const fresh = asks.filter(({ id }) => !tables.waiting.has(id) && !tables.placed.has(id));
  const turnedAway = fresh.flatMap((ask) => addWaiting(tables, ask, now) ?? []);
  const decisions = runPlacement(tables, now);
  const hopeless = [...fresh]
    .sort(makeOrder(tables))
    .reverse()
    .flatMap((ask) => refuseHopeless(tables, ask, now) ?? []);
  return [...turnedAway, ...decisions, ...hopeless];
};

/** Takes a request out that nobody waits for any more. */
export const dropWaiting = (tables: PlacementTables, id: string): void => {
  tables.waiting.delete(id);
};

const releaseSlot = (
  tables: PlacementTables,
  { ask, worker, hasBegun }: PlacedRequest,
): RoutedWorker => {
  tables.placed.delete(ask.id);
  worker.inFlight -= 1;
  if (!hasBegun) worker.pendingTokens -= ask.promptTokens;
  return worker;
};

const noteBegun = (placed: PlacedRequest): void => {
  if (placed.hasBegun) return;
  placed.hasBegun = true;
  placed.worker.pendingTokens -= placed.ask.promptTokens;
};

const makeTimed = (ms: number, tokens: number): TimedTokens | undefined => (
  ms > 0 ? { ms, tokens } : undefined
);

type NewsHandler = (
  tables: PlacementTables, placed: PlacedRequest, news: PlacedNews, now: number,
) => void;

const learnEnd = (isFailed: boolean): NewsHandler => (tables, placed, news, now) => {
  const { ask, placedAt, pendingBefore } = placed;
  const worker = releaseSlot(tables, placed);
  if (!isFailed) noteReached(worker);
  learnAnswer(tables.workers, worker, {
    holdMs: now - placedAt,
    paceMs: 0,
    firstEvent: makeTimed(news.firstEventMs, ask.promptTokens + pendingBefore),
    output: makeTimed(news.outputMs, ask.outputTokens),
    failed: isFailed,
  });
};

const suspend: NewsHandler = (tables, placed, news, now) => {
  suspendWorker(releaseSlot(tables, placed), now);
};

const newsHandlers: Record<PlacedNews['phase'], NewsHandler> = {
  running: (tables, placed, news) => {
    noteBegun(placed);
    if (news.paceMs > 0) learnPace(placed.worker, news.paceMs);
  },
  ended: learnEnd(false),
  failed: learnEnd(true),
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
export const notePlaced = (tables: PlacementTables, news: PlacedNews, now: number): void => {
  const placed = tables.placed.get(news.id);
  if (placed) newsHandlers[news.phase](tables, placed, news, now);
  else if (news.phase === 'dropped') dropWaiting(tables, news.id);
};

/**
 * Frees what an entry has placed and does not hold: the reply was lost with the connection that
 * carried it. Without this its slot stays taken until the request's deadline.
 *
 * @example
 * keepPlaced(tables, 'e1', new Set(['p7']));
 */
export const keepPlaced = (
  tables: PlacementTables,
  entryId: string,
  held: ReadonlySet<string>,
): void => {
  [...tables.placed.values()]
    .filter(({ ask }) => ask.entryId === entryId && !held.has(ask.id))
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
    .filter(({ ask }) => now > ask.deadlineAt || !isThere(ask.entryId))
    .forEach((placed) => releaseSlot(tables, placed));
  [...tables.waiting.values()]
    .filter(({ entryId }) => !isThere(entryId))
    .forEach(({ id }) => tables.waiting.delete(id));
};
