/** What becomes of requests that were placed: their progress, and the release of their slots. */
import type { PlacedRequest, PlacementTables } from './placementTables';
import {
  clearSuspension, recordAnswer, recordPace, suspendWorker,
} from './routedWorkers';
import type { RoutedWorker, TimedTokens } from './routedWorkers';
import { recordStreamStart, removeStreamGrant } from './streamPlacement';

/** Progress report on a placed request. */
export interface PlacementUpdate {
  readonly id: string;
  readonly phase: 'running' | 'ended' | 'failed' | 'dropped' | 'rejected' | 'unreached';
  readonly paceMs: number;
  readonly firstEventMs: number;
  readonly outputMs: number;
}

/** Removes a waiting request that its caller has abandoned. */
export const removeAbandonedRequest = (tables: PlacementTables, id: string): void => {
  tables.waiting.remove(id);
};

/** Records that a server may be granted which could not be when requests were last tried. */
const markAvailable = ({ freed, full }: PlacementTables, service: string): void => {
  freed.add(service);
  full.clear();
};

const releaseSlot = (
  tables: PlacementTables,
  { request, worker, hasStarted }: PlacedRequest,
): RoutedWorker => {
  tables.placed.delete(request.id);
  markAvailable(tables, request.service);
  removeStreamGrant(tables, request);
  worker.inFlight -= 1;
  if (!hasStarted) worker.pendingTokens -= request.promptTokens;
  return worker;
};

/** Records that a server works on a request, so that it is up and its entry reaches it. */
const recordProgress = (
  tables: PlacementTables,
  { request, worker }: PlacedRequest,
  now: number,
): void => {
  const wasPaused = tables.reach.recordSuccess(request.entryId, worker, now);
  if (wasPaused || now < worker.suspendedUntil) markAvailable(tables, request.service);
  clearSuspension(worker);
};

const markStarted = (tables: PlacementTables, placed: PlacedRequest): void => {
  if (placed.hasStarted) return;
  placed.hasStarted = true;
  recordStreamStart(tables, placed.request, placed.worker);
  removeStreamGrant(tables, placed.request);
  placed.worker.pendingTokens -= placed.request.promptTokens;
};

const makeTimedTokens = (ms: number, tokens: number): TimedTokens | undefined => (
  ms > 0 ? { ms, tokens } : undefined
);

type UpdateHandler = (
  tables: PlacementTables, placed: PlacedRequest, update: PlacementUpdate, now: number,
) => void;

const makeEndHandler = (isFailed: boolean): UpdateHandler => (tables, placed, update, now) => {
  const { request, placedAt, pendingTokensBefore } = placed;
  const worker = releaseSlot(tables, placed);
  if (!isFailed) recordProgress(tables, placed, now);
  recordAnswer(tables.workers, worker, {
    holdMs: now - placedAt,
    paceMs: 0,
    firstEvent: makeTimedTokens(update.firstEventMs, request.promptTokens + pendingTokensBefore),
    output: makeTimedTokens(update.outputMs, request.outputTokens),
    failed: isFailed,
  });
};

/** Entries that must fail at a server before it is suspended for all of them. */
const MIN_FAILED_ENTRIES = 2;

const updateHandlers: Record<PlacementUpdate['phase'], UpdateHandler> = {
  running: (tables, placed, update, now) => {
    markStarted(tables, placed);
    recordProgress(tables, placed, now);
    if (update.paceMs > 0) recordPace(placed.worker, update.paceMs);
  },
  ended: makeEndHandler(false),
  failed: makeEndHandler(true),
  dropped: (tables, placed) => {
    releaseSlot(tables, placed);
  },
  rejected: (tables, placed, update, now) => {
    suspendWorker(releaseSlot(tables, placed), now);
  },
  unreached: (tables, placed, update, now) => {
    const worker = releaseSlot(tables, placed);
    const failedEntries = tables.reach.recordFailure(placed.request.entryId, worker, now);
    if (failedEntries >= MIN_FAILED_ENTRIES) suspendWorker(worker, now);
  },
};

/**
 * Applies a progress report on a placed request.
 *
 * @example
 * const update = { id, phase: 'ended', paceMs: 0, firstEventMs: 180, outputMs: 640 };
 * applyPlacementUpdate(tables, update, clock.now());
 */
export const applyPlacementUpdate = (
  tables: PlacementTables,
  update: PlacementUpdate,
  now: number,
): void => {
  const placed = tables.placed.get(update.id);
  if (placed) updateHandlers[update.phase](tables, placed, update, now);
  else if (update.phase === 'dropped') removeAbandonedRequest(tables, update.id);
};

/**
 * Releases slots that were granted to an entry but that it does not hold: the reply was lost with
 * its connection. Otherwise such a slot would stay taken until the request's deadline.
 *
 * @example
 * retainPlaced(tables, 'e1', new Set(['p7']));
 */
export const retainPlaced = (
  tables: PlacementTables,
  entryId: string,
  heldIds: ReadonlySet<string>,
): void => {
  [...tables.placed.values()]
    .filter(({ request }) => request.entryId === entryId && !heldIds.has(request.id))
    .forEach((placed) => releaseSlot(tables, placed));
};

/**
 * Releases slots of entries that are gone, and of requests past their deadline, whose reports were
 * lost.
 *
 * @example
 * expirePlaced(tables, (entryId) => entries.has(entryId), clock.now());
 */
export const expirePlaced = (
  tables: PlacementTables,
  isPresent: (entryId: string) => boolean,
  now: number,
): void => {
  [...tables.placed.values()]
    .filter(({ request }) => now > request.deadlineAt || !isPresent(request.entryId))
    .forEach((placed) => releaseSlot(tables, placed));
  tables.waiting.listAll()
    .filter(({ entryId }) => !isPresent(entryId))
    .forEach(({ id }) => tables.waiting.remove(id));
  tables.reach.forgetGone(isPresent, (id) => tables.workers.byId.has(id), now);
};
