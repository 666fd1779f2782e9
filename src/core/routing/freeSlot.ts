/** Choice of a free slot for a request, isolated from other requests if it is a suspect. */
import { NO_RESTRICTION } from '../quarantine/placementRestriction';
import type { PlacementRestriction } from '../quarantine/placementRestriction';
import type { PlacementTables, SlotRequest } from './placementTables';
import { chooseRoutedWorker } from './workerChoice';
import type { WorkerChoice } from './workerChoice';

/** Finds the restriction of a request. */
export const readRestriction = (
  { findRestriction }: PlacementTables,
  { fingerprint }: SlotRequest,
): PlacementRestriction => (fingerprint ? findRestriction(fingerprint) : NO_RESTRICTION);

/** Which servers are considered for a request. */
interface FreeSlotOptions {
  /** Servers that must not be chosen. */
  readonly avoided?: readonly string[];
  /** Defaults to whether the request continues a stream, whose version few servers may have. */
  readonly includesLent?: boolean;
}

/** Chooses a server with a free slot, except `avoided` ones and those that the entry avoids. */
export const chooseFreeWorker = (
  tables: PlacementTables,
  request: SlotRequest,
  now: number,
  { avoided = [], includesLent = request.origin !== undefined }: FreeSlotOptions = {},
): WorkerChoice | undefined => chooseRoutedWorker(tables.workers, {
  service: request.service,
  promptTokens: request.promptTokens,
  outputTokens: request.outputTokens,
  remainingMs: request.deadlineAt - now,
  zone: request.zone,
  tried: request.tried,
  avoided: new Set([...avoided, ...request.avoidedIds ?? []]),
  requiresFreeSlot: true,
  origin: request.origin,
  includesLent,
}, now);

/**
 * Chooses a server for a suspect. Only one copy runs at a time, so that its outcome is known before
 * the next one runs, and never beside another suspect, so that a crash identifies its cause.
 */
export const chooseIsolatedWorker = (
  tables: PlacementTables,
  request: SlotRequest,
  now: number,
): WorkerChoice | undefined => {
  const suspects = [...tables.placed.values()]
    .filter((placed) => readRestriction(tables, placed.request).kind !== 'none');
  if (suspects.some((other) => other.request.fingerprint === request.fingerprint)) return undefined;
  return chooseFreeWorker(tables, request, now, {
    avoided: suspects.map(({ worker }) => worker.id), includesLent: true,
  });
};
