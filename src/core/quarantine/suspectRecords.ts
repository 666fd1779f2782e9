/** Converts suspects to and from the records that are stored and sent to entries and replicas. */
import type { SuspectRecord } from '../../protocol/generated/beechlift';
import {
  computeRemainingRefusalMs, computeSuspectWeight, findOrMakeSuspect, isListed,
} from './crashTable';
import type { CrashTable, Suspect } from './crashTable';

/** Maximum number of records in a list. */
const MAX_RECORDS = 512;

const toRecord = (suspect: Suspect, now: number): SuspectRecord => ({
  fingerprint: suspect.fingerprint,
  servers: [...suspect.servers],
  weight: computeSuspectWeight(suspect),
  bound: suspect.refusalThreshold,
  refusals: suspect.refusals,
  refusedMs: computeRemainingRefusalMs(suspect, now),
});

/**
 * Lists the requests that are watched or refused and all suspect parts of prompts, longest
 * remaining refusal first.
 *
 * @example
 * reply.suspects = listSuspects(table, clock.now());
 */
export const listSuspects = (table: CrashTable, now: number): SuspectRecord[] => (
  [...table.suspects.values()]
    .filter(({ fingerprint }) => isListed(table, fingerprint, now))
    .map((suspect) => toRecord(suspect, now))
    .sort((a, b) => b.refusedMs - a.refusedMs)
    .slice(0, MAX_RECORDS)
);

/**
 * Adopts a record of another leader; servers that it counted are not counted again.
 *
 * @example
 * records.forEach((record) => adoptSuspect(table, record, clock.now()));
 */
export const adoptSuspect = (table: CrashTable, record: SuspectRecord, now: number): void => {
  const suspect = findOrMakeSuspect(table, record.fingerprint, now);
  if (!suspect) return;
  record.servers.forEach((server) => suspect.servers.add(server));
  suspect.crashGroups.clear();
  suspect.inheritedWeight = record.weight;
  suspect.refusalThreshold = record.bound;
  suspect.refusals = record.refusals;
  suspect.refusedUntil = record.refusedMs > 0 ? now + record.refusedMs : -Infinity;
};
