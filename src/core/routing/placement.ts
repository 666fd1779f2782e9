/**
 * Placement of requests on the slots of model engines, decided centrally for all entries.
 *
 * It is designed for bursts. Entries that choose independently, based on loads that are a fifth of
 * a second old, all send to the same engine, where requests queue in order of arrival while another
 * engine is idle. Here all slots are known, none is granted twice, and waiting requests are served
 * by rank.
 */
import type { PlacementRestriction, RestrictionKind } from '../quarantine/placementRestriction';
import { recordArrival } from './arrivalRates';
import type { PlacementTables, SlotRequest } from './placementTables';
import { chooseFreeWorker, chooseIsolatedWorker, readRestriction } from './freeSlot';
import { computeMaxWaitMs, estimateWaitMs } from './placementWait';
import { isReady } from './routedWorkers';
import {
  explainVersionGone, ORIGIN_UNKNOWN, ORIGIN_UNKNOWN_RETRY_MS, VERSION_GONE_RETRY_MS,
} from './streamOrigin';
import type { StreamOrigin } from './streamOrigin';
import { checkStream, recordStreamGrant } from './streamPlacement';
import type { WorkerChoice } from './workerChoice';
import { takeWorkerAllowance } from './workerRateLimit';

/** Why a request gets no slot. */
export interface PlacementRefusal {
  readonly code: 'noSlotInTime' | 'requestQuarantined' | 'streamVersionGone' | 'streamOriginUnknown'
    | 'backendsUnreachable';
  readonly reason: string;
  readonly retryAfterMs: number;
}

/** Decision on a request. */
export type PlacementDecision = | {
  readonly kind: 'grant';
  readonly id: string;
  readonly workerId: string;
  readonly expectedMs: number;
  /** Version that the server was required to have; undefined if the request begins a stream. */
  readonly origin: StreamOrigin | undefined;
}
  | ({ readonly kind: 'refuse'; readonly id: string } & PlacementRefusal);

/**
 * Time after which a refused caller may retry, in milliseconds. A retry during the same burst would
 * be refused again, so the time is in the order of a burst's length. Retries of callers that were
 * refused together are spread over successive steps.
 */
const MIN_RETRY_MS = 2_000;
const MAX_RETRY_MS = 5_000;
const RETRY_SPREAD_STEPS = 8;
const RETRY_SPREAD_STEP_MS = 250;
/** Retry-After if an entry reaches no server, in milliseconds: other entries can serve at once. */
const OTHER_ENTRY_RETRY_MS = 250;
/** Least Retry-After if no entry reaches a server, in milliseconds: a crashed one may restart. */
const OUTAGE_RETRY_MS = 1_000;
/** Limit on waiting requests over all services. */
const MAX_WAITING = 4_096;

const computeRetrySpreadMs = ({ refusals }: PlacementTables): number => (
  (refusals % RETRY_SPREAD_STEPS) * RETRY_SPREAD_STEP_MS);

const refuseAs = (
  tables: PlacementTables,
  { id }: SlotRequest,
  refusal: PlacementRefusal,
): PlacementDecision => {
  tables.waiting.remove(id);
  return { kind: 'refuse', id, ...refusal };
};

const refuse = (
  tables: PlacementTables,
  request: SlotRequest,
  now: number,
  reason: string,
): PlacementDecision => {
  tables.refusals += 1;
  const waitMs = estimateWaitMs(tables, request, now);
  const spreadMs = computeRetrySpreadMs(tables);
  return refuseAs(tables, request, {
    code: 'noSlotInTime',
    reason,
    retryAfterMs: Math.round(Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, waitMs) + spreadMs)),
  });
};

const grant = (
  tables: PlacementTables,
  request: SlotRequest,
  { worker, waitMs, ownMs }: WorkerChoice,
  now: number,
): PlacementDecision => {
  tables.waiting.remove(request.id);
  tables.placed.set(request.id, {
    request,
    worker,
    placedAt: now,
    pendingTokensBefore: worker.pendingTokens + worker.othersPendingTokens,
    hasStarted: false,
  });
  worker.inFlight += 1;
  worker.pendingTokens += request.promptTokens;
  takeWorkerAllowance(worker, now);
  recordStreamGrant(tables, request);
  return {
    kind: 'grant',
    id: request.id,
    workerId: worker.id,
    expectedMs: Math.round(waitMs + ownMs),
    origin: request.origin,
  };
};

const formatFullKey = ({ service, avoidedIds = [], origin }: SlotRequest): string => [
  service, ...avoidedIds, ...(origin ? [JSON.stringify(origin.software)] : []),
].join(' ');

const refuseVersionGone = (
  tables: PlacementTables,
  request: SlotRequest,
  origin: StreamOrigin,
): PlacementDecision => refuseAs(tables, request, {
  code: 'streamVersionGone',
  reason: explainVersionGone(origin),
  retryAfterMs: VERSION_GONE_RETRY_MS,
});

const refuseOriginUnknown = (
  tables: PlacementTables,
  request: SlotRequest,
): PlacementDecision => refuseAs(tables, request, {
  code: 'streamOriginUnknown',
  reason: ORIGIN_UNKNOWN,
  retryAfterMs: ORIGIN_UNKNOWN_RETRY_MS,
});

const refuseQuarantined = (
  tables: PlacementTables,
  request: SlotRequest,
  { refusedMs }: PlacementRestriction,
): PlacementDecision => refuseAs(tables, request, {
  code: 'requestQuarantined',
  reason: `backend servers crashed repeatedly while they ran request "${request.fingerprint ?? ''}"`,
  retryAfterMs: refusedMs,
});

/** A leader without free slots of its own uses those of the servers that it has lent. */
const chooseLentWorker = (
  tables: PlacementTables,
  request: SlotRequest,
  now: number,
): WorkerChoice | undefined => (
  tables.mayUseLent ? chooseFreeWorker(tables, request, now, { includesLent: true }) : undefined);

const chooseIfNotFull = (
  tables: PlacementTables,
  request: SlotRequest,
  now: number,
): WorkerChoice | undefined => {
  const { full } = tables;
  if (full.has(request.service) || full.has(formatFullKey(request))) return undefined;
  const choice = chooseFreeWorker(tables, request, now) ?? chooseLentWorker(tables, request, now);
  if (!choice) full.add(formatFullKey(request));
  return choice;
};

/** Adds the servers that the entry of a request does not reach to those that it avoids. */
const addUnreached = (request: SlotRequest, unreached: readonly string[]): SlotRequest => {
  if (unreached.length === 0) return request;
  return { ...request, avoidedIds: [...request.avoidedIds ?? [], ...unreached] };
};

/** Whether the entry of a request does not reach any server of its service. */
const isEntryCutOff = (
  { workers }: PlacementTables,
  { service }: SlotRequest,
  unreached: readonly string[],
): boolean => {
  if (unreached.length === 0) return false;
  const ready = (workers.byService.get(service) ?? [])
    .filter((worker) => isReady(worker) && !worker.isLent);
  return ready.length > 0 && ready.every(({ id }) => unreached.includes(id));
};

const refuseUnreached = (
  tables: PlacementTables,
  request: SlotRequest,
  now: number,
): PlacementDecision => {
  const { service } = request;
  tables.refusals += 1;
  const isReachedByOthers = tables.reach.isReachedByAny(service, now);
  return refuseAs(tables, request, {
    code: 'backendsUnreachable',
    reason: `this entry reaches no server of service "${service}", ${isReachedByOthers ? 'others do' : 'nor does any other'}`,
    retryAfterMs: isReachedByOthers
      ? OTHER_ENTRY_RETRY_MS
      : OUTAGE_RETRY_MS + computeRetrySpreadMs(tables),
  });
};

type WorkerChooser = (
  tables: PlacementTables, request: SlotRequest, now: number,
) => WorkerChoice | undefined;

const choosers: Record<RestrictionKind, WorkerChooser> = {
  none: chooseIfNotFull,
  alone: chooseIsolatedWorker,
  held: () => undefined,
  refused: () => undefined,
};

const decideWaiting = (
  tables: PlacementTables,
  waiting: SlotRequest,
  now: number,
): PlacementDecision | undefined => {
  const stream = checkStream(tables, waiting, now);
  if (stream.kind === 'learning') return undefined;
  if (stream.kind === 'unknown') return refuseOriginUnknown(tables, waiting);
  if (stream.kind === 'gone') return refuseVersionGone(tables, waiting, stream.origin);
  const unreached = tables.reach.listPaused(waiting.entryId, now);
  if (isEntryCutOff(tables, waiting, unreached)) return refuseUnreached(tables, waiting, now);
  const request = addUnreached(stream.request, unreached);
  const restriction = readRestriction(tables, request);
  if (restriction.kind === 'refused') return refuseQuarantined(tables, request, restriction);
  const choice = choosers[restriction.kind](tables, request, now);
  if (choice) return grant(tables, request, choice, now);
  const isOver = now - request.askedAt > computeMaxWaitMs(tables, request);
  return isOver ? refuse(tables, request, now, 'no slot was free in time') : undefined;
};

/**
 * Grants free slots to waiting requests in their order, and refuses requests that have waited too
 * long to be answered on time. Looks at all waiting requests, so it is for a timer: servers become
 * available again with time, restrictions end, and patience runs out.
 *
 * @example
 * const decisions = placeWaiting(tables, clock.now());
 */
export const placeWaiting = (tables: PlacementTables, now: number): PlacementDecision[] => {
  tables.full.clear();
  tables.freed.clear();
  tables.waiting.sort();
  return tables.waiting.services
    .flatMap((service) => tables.waiting.list(service))
    .flatMap((request) => decideWaiting(tables, request, now) ?? []);
};

/** Tries the waiting requests of a service in their order, until it has no free slot. */
const placeNext = (
  tables: PlacementTables,
  service: string,
  now: number,
): PlacementDecision[] => {
  const decisions: PlacementDecision[] = [];
  let position = 0;
  while (!tables.full.has(service)) {
    const request = tables.waiting.get(service, position);
    if (!request) break;
    const decision = decideWaiting(tables, request, now);
    // What is decided leaves the queue.
    if (decision) decisions.push(decision);
    else position += 1;
  }
  return decisions;
};

/**
 * Grants slots that were freed to waiting requests in their order. Costs the same however many
 * requests wait, and nothing if no slot was freed.
 *
 * @example
 * applyPlacementUpdate(tables, update, clock.now());
 * const decisions = placeFreed(tables, clock.now());
 */
export const placeFreed = (tables: PlacementTables, now: number): PlacementDecision[] => {
  const services = [...tables.freed];
  tables.freed.clear();
  return services.flatMap((service) => placeNext(tables, service, now));
};

const addWaiting = (
  tables: PlacementTables,
  request: SlotRequest,
  now: number,
): PlacementDecision | undefined => {
  recordArrival(tables.arrivalRates, request.service, request.rank, now);
  if (tables.waiting.size >= MAX_WAITING) return refuse(tables, request, now, 'too many requests are waiting for a slot');
  tables.waiting.set(request.id, request);
  return undefined;
};

const refuseLongWait = (
  tables: PlacementTables,
  waiting: SlotRequest,
  now: number,
): PlacementDecision | undefined => {
  const request = addUnreached(waiting, tables.reach.listPaused(waiting.entryId, now));
  const isTooLong = tables.workers.mechanisms.earlyRefusal
    && tables.waiting.has(request.id)
    && estimateWaitMs(tables, request, now) > computeMaxWaitMs(tables, request);
  return isTooLong ? refuse(tables, request, now, 'the expected wait for a slot is too long') : undefined;
};

/**
 * Decides on requests that arrived together. A request that would wait too long is refused at once:
 * its caller can retry after the burst, and no time is spent on it meanwhile. Refusals are checked
 * from the last in order, because each one makes room for those before it.
 *
 * @example
 * const decisions = requestSlots(tables, [request], clock.now());
 */
export const requestSlots = (
  tables: PlacementTables,
  requests: readonly SlotRequest[],
  now: number,
): PlacementDecision[] => {
  const newRequests = requests
    .filter(({ id }) => !tables.waiting.has(id) && !tables.placed.has(id));
  const refusedAsFull = newRequests.flatMap((request) => addWaiting(tables, request, now) ?? []);
  const placed = placeFreed(tables, now);
  const ordered = tables.waiting.order(newRequests);
  const decisions = ordered
    .filter(({ id }) => tables.waiting.has(id))
    .flatMap((request) => decideWaiting(tables, request, now) ?? []);
  const refusedForWait = ordered.reverse()
    .flatMap((request) => refuseLongWait(tables, request, now) ?? []);
  return [...refusedAsFull, ...placed, ...decisions, ...refusedForWait];
};
