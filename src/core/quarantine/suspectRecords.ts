/** How suspect requests travel: to entries, to replicas that follow, and to the disk. */
import type { SuspectRecord } from '../../protocol/generated/beechlift';
import {
  computeRemainingRefusalMs, findStage, findOrMakeSuspect, computeSuspectWeight,
} from './crashTable';
import type { CrashTable, Suspect } from './crashTable';

/** Suspects that are told of, at most. */
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
 * Lists the requests that are watched or refused, those that are refused longest first.
 *
 * @example
 * reply.suspects = listSuspects(table, clock.now());
 */
export const listSuspects = (table: CrashTable, now: number): SuspectRecord[] => (
  [...table.suspects.values()]
    .filter(({ fingerprint }) => findStage(table, fingerprint, now) !== 'noted')
    .map((suspect) => toRecord(suspect, now))
    .sort((a, b) => b.refusedMs - a.refusedMs)
    .slice(0, MAX_RECORDS)
);

/**
 * Takes over what another leader came to; the servers that it counted are not counted again.
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
