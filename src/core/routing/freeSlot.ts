/** Which free slot a request gets, apart from others where something is known against it. */
import { NO_CAUTION } from '../quarantine/placementCaution';
import type { PlacementCaution } from '../quarantine/placementCaution';
import type { PlaceAsk, PlacementTables } from './placementTables';
import { chooseRoutedWorker } from './workerChoice';
import type { WorkerChoice } from './workerChoice';

/** What is known against a request. */
export const readCaution = (
  { findCaution }: PlacementTables,
  { fingerprint }: PlaceAsk,
): PlacementCaution => (fingerprint ? findCaution(fingerprint) : NO_CAUTION);

/** Chooses among the servers with a free slot, less those to be avoided and those of its entry. */
export const chooseFree = (
  tables: PlacementTables,
  ask: PlaceAsk,
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
  mustBeFree: true,
}, now);

/**
 * Chooses for a suspect: one copy at a time, so that what it does is known before the next runs,
 * and never beside another suspect, so that an end tells which of them it was.
 */
export const chooseAlone = (
  tables: PlacementTables,
  ask: PlaceAsk,
  now: number,
): WorkerChoice | undefined => {
  const suspects = [...tables.placed.values()]
    .filter((placed) => readCaution(tables, placed.ask).kind !== 'none');
  if (suspects.some((placed) => placed.ask.fingerprint === ask.fingerprint)) return undefined;
  return chooseFree(tables, ask, now, suspects.map(({ worker }) => worker.id));
};
