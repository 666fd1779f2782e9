/** Which free slot a request gets, apart from others where something is known against it. */
import { NO_RESTRICTION } from '../quarantine/placementRestriction';
import type { PlacementRestriction } from '../quarantine/placementRestriction';
import type { SlotRequest, PlacementTables } from './placementTables';
import { chooseRoutedWorker } from './workerChoice';
import type { WorkerChoice } from './workerChoice';

/** What is known against a request. */
export const readRestriction = (
  { findRestriction: findCaution }: PlacementTables,
  { fingerprint }: SlotRequest,
): PlacementRestriction => (fingerprint ? findCaution(fingerprint) : NO_RESTRICTION);

/** Chooses among the servers with a free slot, less those to be avoided and those of its entry. */
export const chooseFreeWorker = (
  tables: PlacementTables,
  ask: SlotRequest,
  now: number,
  avoided: readonly string[] = [],
): WorkerChoice | undefined => chooseRoutedWorker(tables.workers, {
  service: ask.service,
  promptTokens: ask.promptTokens,
  outputTokens: ask.outputTokens,
  remainingMs: ask.deadlineAt - now,
  zone: ask.zone,
  tried: ask.tried,
  avoided: new Set([...avoided, ...ask.avoidedIds ?? []]),
  requiresFreeSlot: true,
}, now);

/**
 * Chooses for a suspect: one copy at a time, so that what it does is known before the next runs,
 * and never beside another suspect, so that an end tells which of them it was.
 */
export const chooseIsolatedWorker = (
  tables: PlacementTables,
  ask: SlotRequest,
  now: number,
): WorkerChoice | undefined => {
  const suspects = [...tables.placed.values()]
    .filter((placed) => readRestriction(tables, placed.request).kind !== 'none');
  if (suspects.some((placed) => placed.request.fingerprint === ask.fingerprint)) return undefined;
  return chooseFreeWorker(tables, ask, now, suspects.map(({ worker }) => worker.id));
};
