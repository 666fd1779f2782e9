/** Evaluates recorded crashes: which requests to watch or refuse, and when to stop doing so. */
import {
  clearSuspect, computeGroupWeight, computeSuspectWeight, CRASH_GROUP_WINDOW_MS, findStage,
  REFUSAL_THRESHOLD, WATCH_THRESHOLD, WEIGHT_EPSILON,
} from './crashTable';
import { isPartKey } from './promptPart';
import type {
  CrashTable, CrashGroup, StageChange, Suspect,
} from './crashTable';

/** Announcements sent before a crash mostly arrive within this time, in milliseconds. */
const IN_FLIGHT_GRACE_MS = 500;
/** Later announcements that prove that a server is running: one or two may have been delayed. */
const MIN_LIVENESS_ANNOUNCEMENTS = 3;

/** Lengths of the first and the longest refusal of a request, in milliseconds. */
const INITIAL_REFUSAL_MS = 60_000;
const MAX_REFUSAL_MS = 3_600_000;
/** Factor by which each further refusal is longer than the previous one. */
const REFUSAL_FACTOR = 4;

/** How long a suspect is kept after its last crash or the end of its refusal, in milliseconds. */
const SUSPECT_RETENTION_MS = 600_000;

/** Removes a crash from a suspect because the server turned out to be running. */
const removeCrash = (
  table: CrashTable,
  suspect: Suspect,
  server: string,
  now: number,
): StageChange[] => {
  const { fingerprint, crashGroups, servers } = suspect;
  if (servers.size === 1) return clearSuspect(table, suspect, now);
  const oldStage = findStage(table, fingerprint, now);
  servers.delete(server);
  [...crashGroups]
    .filter((group) => computeGroupWeight(group, fingerprint) === 0)
    .forEach((group) => crashGroups.delete(group));
  if (computeSuspectWeight(suspect) < REFUSAL_THRESHOLD - WEIGHT_EPSILON) {
    suspect.refusedUntil = Math.min(suspect.refusedUntil, now);
    suspect.refusalThreshold = REFUSAL_THRESHOLD;
  }
  const newStage = findStage(table, fingerprint, now);
  if (newStage === oldStage) return [];
  table.revision += 1;
  return [{ kind: newStage === 'noted' ? 'cleared' : newStage, suspect }];
};

const countAnnouncement = (group: CrashGroup, server: string, sequence: number): number => {
  const previous = group.announcements.get(server) ?? { count: 0, sequence: -1 };
  if (sequence <= previous.sequence) return previous.count;
  group.announcements.set(server, { count: previous.count + 1, sequence });
  return previous.count + 1;
};

/**
 * Records an announcement of a server. A server that goes on announcing itself did not crash: its
 * connections broke for another reason.
 *
 * @param sequence number of the announcement, which increases with each one
 * @example
 * const changes = recordAnnouncement(table, 'w1@0', 17, clock.now());
 */
export const recordAnnouncement = (
  table: CrashTable,
  server: string,
  sequence: number,
  now: number,
): StageChange[] => {
  const group = table.groupsByServer.get(server);
  if (!group || now - group.at < IN_FLIGHT_GRACE_MS) return [];
  if (countAnnouncement(group, server, sequence) < MIN_LIVENESS_ANNOUNCEMENTS) return [];
  const fingerprints = [...group.servers.get(server) ?? []];
  table.groupsByServer.delete(server);
  group.servers.delete(server);
  return fingerprints
    .flatMap((fingerprint) => table.suspects.get(fingerprint) ?? [])
    .flatMap((suspect) => removeCrash(table, suspect, server, now));
};

/*
 * Clears the others that were open at the servers which a refused part has crashed: at most one of
 * them is the cause, and it is known.
 */
const explainCrashes = (table: CrashTable, part: Suspect, now: number): StageChange[] => {
  const crashes = [...part.crashGroups].flatMap(({ servers }) => [...servers])
    .filter(([, fingerprints]) => fingerprints.has(part.fingerprint));
  return crashes.flatMap(([server, fingerprints]) => {
    const others = [...fingerprints].filter((fingerprint) => fingerprint !== part.fingerprint);
    others.forEach((fingerprint) => fingerprints.delete(fingerprint));
    return others
      .flatMap((fingerprint) => table.suspects.get(fingerprint) ?? [])
      .flatMap((other) => removeCrash(table, other, server, now));
  });
};

const refuse = (suspect: Suspect, weight: number, now: number): StageChange => {
  const refusalMs = Math.min(
    MAX_REFUSAL_MS,
    INITIAL_REFUSAL_MS * REFUSAL_FACTOR ** suspect.refusals,
  );
  suspect.refusals += 1;
  suspect.refusedUntil = now + refusalMs;
  suspect.refusalThreshold = weight + 1;
  return { kind: 'refused', suspect };
};

/** Crashes of one group may share another cause, such as a rack failure, so one is not enough. */
const hasSeveralGroups = ({ crashGroups, inheritedWeight }: Suspect): boolean => (
  crashGroups.size + (inheritedWeight > 0 ? 1 : 0) > 1);

const evaluateSuspect = (table: CrashTable, suspect: Suspect, now: number): StageChange[] => {
  const weight = computeSuspectWeight(suspect);
  const isPart = isPartKey(suspect.fingerprint);
  const isListed = isPart || weight >= WATCH_THRESHOLD - WEIGHT_EPSILON;
  if (now < suspect.refusedUntil || !isListed) return [];
  table.revision += 1;
  const isCertain = weight >= suspect.refusalThreshold - WEIGHT_EPSILON
    && hasSeveralGroups(suspect);
  if (!isCertain) return [{ kind: isPart ? 'noted' : 'watched', suspect }];
  const change = refuse(suspect, weight, now);
  return isPart ? [change, ...explainCrashes(table, suspect, now)] : [change];
};

const settleGroup = (table: CrashTable, group: CrashGroup, now: number): StageChange[] => {
  group.isSettled = true;
  const fingerprints = new Set([...group.servers.values()].flatMap((requests) => [...requests]));
  // The later a part stands in its prompt, the fewer requests share it: if several have the same
  // evidence against them, the last one is refused.
  return [...fingerprints].reverse().flatMap((fingerprint) => {
    const suspect = table.suspects.get(fingerprint);
    return suspect ? evaluateSuspect(table, suspect, now) : [];
  });
};

/**
 * Evaluates the requests of crash groups whose time window has passed, and returns their changes.
 *
 * @example
 * const changes = evaluateCrashes(table, clock.now());
 */
export const evaluateCrashes = (table: CrashTable, now: number): StageChange[] => {
  const due = [...table.groupsByServer.values()]
    .filter(({ at, isSettled }) => !isSettled && now - at > CRASH_GROUP_WINDOW_MS);
  return [...new Set(due)].flatMap((group) => settleGroup(table, group, now));
};

/**
 * Removes suspects without recent evidence, and returns their changes.
 *
 * @example
 * const changes = expireSuspects(table, clock.now());
 */
export const expireSuspects = (table: CrashTable, now: number): StageChange[] => {
  const changes = [...table.suspects.values()]
    .filter(({ lastEvidenceAt, refusedUntil }) => (
      now - Math.max(lastEvidenceAt, refusedUntil) > SUSPECT_RETENTION_MS))
    .flatMap((suspect) => clearSuspect(table, suspect, now));
  [...table.groupsByServer]
    .filter(([, { at }]) => now - at > SUSPECT_RETENTION_MS)
    .forEach(([server]) => table.groupsByServer.delete(server));
  return changes;
};
