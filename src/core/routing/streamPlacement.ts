/** Placement of requests that continue streams, and what it records of streams that begin. */
import { findOrigin } from './originLookup';
import type { PlacementTables, SlotRequest } from './placementTables';
import type { RoutedWorker } from './routedWorkers';
import { hasOriginServer, readOrigin } from './streamOrigin';
import type { StreamOrigin } from './streamOrigin';
import { ORIGIN_RETENTION_MS } from './streamOrigins';

/**
 * Result of the check of a waiting request. `unknown` and `gone`: no server may get it; `learning`:
 * a report may still arrive.
 */
export type StreamCheck = | { readonly kind: 'unknown' }
  | { readonly kind: 'learning' }
  | { readonly kind: 'gone'; readonly origin: StreamOrigin }
  /** The request, with the origin of its stream if it continues one. */
  | { readonly kind: 'placeable'; readonly request: SlotRequest };

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
    const mayBeReported = request.resumedId !== '' && now < tables.learnsUntil;
    return mayBeReported ? { kind: 'learning' } : { kind: 'unknown' };
  }
  if (!origin) return { kind: 'placeable', request };
  if (!hasOriginServer(tables.workers, request.service, origin)) return { kind: 'gone', origin };
  return { kind: 'placeable', request: { ...request, origin } };
};

/** Records which version may begin the stream of a request that gets a slot, or continues it. */
export const recordStreamGrant = (
  { origins }: PlacementTables,
  { requestId, resumedId, deadlineAt }: SlotRequest,
  worker: RoutedWorker,
): void => {
  const origin = readOrigin(worker);
  const expiresAt = deadlineAt + ORIGIN_RETENTION_MS;
  if (requestId) origins.recordGrant(requestId, origin, expiresAt);
  // The caller may name the same attempt once more.
  if (resumedId) origins.recordStart({ id: resumedId, origin, expiresAt });
};

/** Records that a server has sent the first event of a stream. */
export const recordStreamStart = (
  { origins }: PlacementTables,
  { requestId, deadlineAt }: SlotRequest,
  worker: RoutedWorker,
): void => {
  if (!requestId) return;
  const expiresAt = deadlineAt + ORIGIN_RETENTION_MS;
  origins.recordStart({ id: requestId, origin: readOrigin(worker), expiresAt });
};
