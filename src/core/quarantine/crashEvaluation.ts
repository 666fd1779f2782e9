/** What the leader concludes from the ends of servers, and when it takes that back. */
import {
  WEIGHT_EPSILON, findStage, CRASH_GROUP_WINDOW_MS, REFUSAL_THRESHOLD, clearSuspect, WATCH_THRESHOLD,
  computeGroupWeight, computeSuspectWeight,
} from './crashTable';
import type {
  CrashTable, CrashGroup, StageChange, Suspect,
} from './crashTable';

/** Announcements that were on their way when a server ended mostly arrive within this, in ms. */
const IN_FLIGHT_GRACE_MS = 500;
/** Later announcements by which a server is known to live: one or two may have been held up. */
const MIN_LIVENESS_ANNOUNCEMENTS = 3;

/** How long a request is refused at first, and at most, in milliseconds. */
const INITIAL_REFUSAL_MS = 60_000;
const MAX_REFUSAL_MS = 3_600_000;
/** How many times as long it is refused when it has ended another server after that. */
const REFUSAL_FACTOR = 4;

/** How long a suspect is remembered after the last end, or the end of its refusal. */
const SUSPECT_RETENTION_MS = 600_000;

/** Takes back what an end said against a request, as its server lives. */
const removeCrash = (
  table: CrashTable,
  suspect: Suspect,
  server: string,
  now: number,
): StageChange[] => {
  const { fingerprint, crashGroups: moments, servers } = suspect;
  if (servers.size === 1) return clearSuspect(table, suspect, now);
  const stage = findStage(table, fingerprint, now);
  servers.delete(server);
  [...moments]
    .filter((moment) => computeGroupWeight(moment, fingerprint) === 0)
    .forEach((moment) => moments.delete(moment));
  if (computeSuspectWeight(suspect) < REFUSAL_THRESHOLD - WEIGHT_EPSILON) {
    suspect.refusedUntil = Math.min(suspect.refusedUntil, now);
    suspect.refusalThreshold = REFUSAL_THRESHOLD;
  }
  const left = findStage(table, fingerprint, now);
  if (left === stage) return [];
  table.revision += 1;
  return [{ kind: left === 'noted' ? 'cleared' : left, suspect }];
};

const countAnnouncement = (moment: CrashGroup, server: string, sequence: number): number => {
  const before = moment.announcements.get(server) ?? { count: 0, sequence: -1 };
  if (sequence <= before.sequence) return before.count;
  moment.announcements.set(server, { count: before.count + 1, sequence });
  return before.count + 1;
};

/**
 * Notes that a server was heard. One that goes on announcing itself did not end: the connections to
 * it broke off for another reason.
 *
 * @param sequence number of the announcement, which grows with each
 * @example
 * const changes = noteHeard(table, 'w1@0', 17, clock.now());
 */
export const recordAnnouncement = (
  table: CrashTable,
  server: string,
  sequence: number,
  now: number,
): StageChange[] => {
  const moment = table.groupsByServer.get(server);
  if (!moment || now - moment.at < IN_FLIGHT_GRACE_MS) return [];
  if (countAnnouncement(moment, server, sequence) < MIN_LIVENESS_ANNOUNCEMENTS) return [];
  const under = [...moment.servers.get(server) ?? []];
  table.groupsByServer.delete(server);
  moment.servers.delete(server);
  return under
    .flatMap((fingerprint) => table.suspects.get(fingerprint) ?? [])
    .flatMap((suspect) => removeCrash(table, suspect, server, now));
};

const refuse = (suspect: Suspect, weight: number, now: number): StageChange => {
  const refusalMs = Math.min(MAX_REFUSAL_MS, INITIAL_REFUSAL_MS * REFUSAL_FACTOR ** suspect.refusals);
  suspect.refusals += 1;
  suspect.refusedUntil = now + refusalMs;
  suspect.refusalThreshold = weight + 1;
  return { kind: 'refused', suspect };
};

/** Copies that run at one moment may share another cause, such as a rack that fails. */
const hasSeveralGroups = ({ crashGroups: moments, inheritedWeight: carried }: Suspect): boolean => (
  moments.size + (carried > 0 ? 1 : 0) > 1);

const evaluateSuspect = (table: CrashTable, suspect: Suspect, now: number): StageChange[] => {
  const weight = computeSuspectWeight(suspect);
  if (now < suspect.refusedUntil || weight < WATCH_THRESHOLD - WEIGHT_EPSILON) return [];
  table.revision += 1;
  const isCertain = weight >= suspect.refusalThreshold - WEIGHT_EPSILON && hasSeveralGroups(suspect);
  if (isCertain) return [refuse(suspect, weight, now)];
  return [{ kind: 'watched', suspect }];
};

const settleGroup = (table: CrashTable, moment: CrashGroup, now: number): StageChange[] => {
  moment.isSettled = true;
  const fingerprints = new Set([...moment.servers.values()].flatMap((under) => [...under]));
  return [...fingerprints].flatMap((fingerprint) => {
    const suspect = table.suspects.get(fingerprint);
    return suspect ? evaluateSuspect(table, suspect, now) : [];
  });
};

/**
 * Judges the requests under ends that are no longer news, and returns what changed for them.
 *
 * @example
 * const changes = judgeEnds(table, clock.now());
 */
export const evaluateCrashes = (table: CrashTable, now: number): StageChange[] => {
  const due = [...table.groupsByServer.values()]
    .filter(({ at, isSettled }) => !isSettled && now - at > CRASH_GROUP_WINDOW_MS);
  return [...new Set(due)].flatMap((moment) => settleGroup(table, moment, now));
};

/**
 * Forgets what nothing was heard against for long, and returns what changed for it.
 *
 * @example
 * const changes = expireSuspects(table, clock.now());
 */
export const expireSuspects = (table: CrashTable, now: number): StageChange[] => {
  const changes = [...table.suspects.values()]
    .filter(({ lastEvidenceAt: notedAt, refusedUntil }) => (
      now - Math.max(notedAt, refusedUntil) > SUSPECT_RETENTION_MS))
    .flatMap((suspect) => clearSuspect(table, suspect, now));
  [...table.groupsByServer]
    .filter(([, { at }]) => now - at > SUSPECT_RETENTION_MS)
    .forEach(([server]) => table.groupsByServer.delete(server));
  return changes;
};
