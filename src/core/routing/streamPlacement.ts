/** Placement of requests that continue streams, and what it records of streams that begin. */
import { findOrigin } from './originLookup';
import type { PlacementTables, SlotRequest } from './placementTables';
import { MAX_CONTINUATION_WAIT_MS } from './placementWait';
import type { RoutedWorker } from './routedWorkers';
import { hasOriginServer, readOrigin } from './streamOrigin';
import type { StreamOrigin } from './streamOrigin';
import { ORIGIN_RETENTION_MS } from './streamOrigins';

/**
 * Time in which a new leader hears of all streams and versions, in milliseconds: entries report
 * which streams they began, and servers announce themselves, every 1.2 s as a rule. Until then its
 * copy of the servers may lack those that only the leader before knew.
 */
export const LEARNING_MS = 2_000;

/**
 * Result of the check of a waiting request. `unknown` and `gone`: no server may get it; `learning`:
 * a report may still arrive.
 */
export type StreamCheck = | { readonly kind: 'unknown' }
  | { readonly kind: 'learning' }
  | { readonly kind: 'gone'; readonly origin: StreamOrigin }
  /** The request, with the origin of its stream if it continues one. */
  | { readonly kind: 'placeable'; readonly request: SlotRequest };

/** Whether an entry may still report which version began the stream of a request. */
const mayBeReported = (
  { learnsUntil, grantedStreams }: PlacementTables,
  { resumedId = '', askedAt }: SlotRequest,
  now: number,
): boolean => {
  if (resumedId === '') return false;
  const isGranted = grantedStreams.has(resumedId) && now - askedAt < MAX_CONTINUATION_WAIT_MS;
  return isGranted || now < learnsUntil;
};

/**
 * Whether servers of other versions may have begun the stream, although these tables have only one:
 * another leader may know them, or an entry may still report one.
 */
const mayLackVersions = (
  { learnsUntil, holdsLease }: PlacementTables,
  { resumedId = '' }: SlotRequest,
  now: number,
): boolean => (resumedId !== '' && now < learnsUntil) || !holdsLease();

/**
 * Checks whether a waiting request may be placed, and at which version.
 *
 * @example
 * const check = checkStream(tables, request, clock.now());
 */
export const checkStream = (
  tables: PlacementTables,
  request: SlotRequest,
  now: number,
): StreamCheck => {
  const { kind, origin } = findOrigin(tables.workers, tables.origins, request, now);
  if (kind === 'unknown') {
    return { kind: mayBeReported(tables, request, now) ? 'learning' : 'unknown' };
  }
  if (kind === 'assumed' && mayLackVersions(tables, request, now)) {
    return { kind: now - request.askedAt < MAX_CONTINUATION_WAIT_MS ? 'learning' : 'unknown' };
  }
  if (!origin) return { kind: 'placeable', request };
  if (!hasOriginServer(tables.workers, request.service, origin)) return { kind: 'gone', origin };
  return { kind: 'placeable', request: { ...request, origin } };
};

/** Records that a request got a slot, so that its entry may report the begin of its stream. */
export const recordStreamGrant = (
  { grantedStreams }: PlacementTables,
  { id, requestId }: SlotRequest,
): void => {
  if (requestId) grantedStreams.set(requestId, id);
};

/** Removes the record of a grant that was used or released. */
export const removeStreamGrant = (
  { grantedStreams }: PlacementTables,
  { id, requestId = '' }: SlotRequest,
): void => {
  if (grantedStreams.get(requestId) === id) grantedStreams.delete(requestId);
};

/** Records that an entry has passed on the first event of a stream, or of its continuation. */
export const recordStreamStart = (
  { origins }: PlacementTables,
  { requestId, resumedId, deadlineAt }: SlotRequest,
  worker: RoutedWorker,
): void => {
  const expiresAt = deadlineAt + ORIGIN_RETENTION_MS;
  // The caller may name either attempt when it takes the stream up again.
  [requestId, resumedId].forEach((id) => {
    if (id) origins.recordStart({ id, origin: readOrigin(worker), expiresAt });
  });
};
