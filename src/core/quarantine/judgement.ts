/** What the leader concludes from the ends of servers, and when it takes that back. */
import {
  EPSILON, findStage, JOINT_END_MS, REFUSE_WEIGHT, releaseSuspect, WATCH_WEIGHT,
  weighMoment, weighSuspect,
} from './crashTable';
import type {
  CrashTable, EndMoment, StageChange, Suspect,
} from './crashTable';

/** Announcements that were on their way when a server ended mostly arrive within this, in ms. */
const LATE_NEWS_MS = 500;
/** Later announcements by which a server is known to live: one or two may have been held up. */
const LIFE_SIGNS = 3;

/** How long a request is refused at first, and at most, in milliseconds. */
const FIRST_REFUSAL_MS = 60_000;
const MAX_REFUSAL_MS = 3_600_000;
/** How many times as long it is refused when it has ended another server after that. */
const REFUSAL_FACTOR = 4;

/** How long a suspect is remembered after the last end, or the end of its refusal. */
const SUSPECT_KEPT_MS = 600_000;

/** Takes back what an end said against a request, as its server lives. */
const removeEnd = (
  table: CrashTable,
  suspect: Suspect,
  server: string,
  now: number,
): StageChange[] => {
  const { fingerprint, moments, servers } = suspect;
  if (servers.size === 1) return releaseSuspect(table, suspect, now);
  const stage = findStage(table, fingerprint, now);
  servers.delete(server);
  [...moments]
    .filter((moment) => weighMoment(moment, fingerprint) === 0)
    .forEach((moment) => moments.delete(moment));
  if (weighSuspect(suspect) < REFUSE_WEIGHT - EPSILON) {
    suspect.refusedUntil = Math.min(suspect.refusedUntil, now);
    suspect.bound = REFUSE_WEIGHT;
  }
  const left = findStage(table, fingerprint, now);
  if (left === stage) return [];
  table.revision += 1;
  return [{ kind: left === 'noted' ? 'cleared' : left, suspect }];
};

const addSign = (moment: EndMoment, server: string, sequence: number): number => {
  const before = moment.heard.get(server) ?? { count: 0, sequence: -1 };
  if (sequence <= before.sequence) return before.count;
  moment.heard.set(server, { count: before.count + 1, sequence });
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
export const noteHeard = (
  table: CrashTable,
  server: string,
  sequence: number,
  now: number,
): StageChange[] => {
  const moment = table.ends.get(server);
  if (!moment || now - moment.at < LATE_NEWS_MS) return [];
  if (addSign(moment, server, sequence) < LIFE_SIGNS) return [];
  const under = [...moment.servers.get(server) ?? []];
  table.ends.delete(server);
  moment.servers.delete(server);
  return under
    .flatMap((fingerprint) => table.suspects.get(fingerprint) ?? [])
    .flatMap((suspect) => removeEnd(table, suspect, server, now));
};

const refuse = (suspect: Suspect, weight: number, now: number): StageChange => {
  const refusalMs = Math.min(MAX_REFUSAL_MS, FIRST_REFUSAL_MS * REFUSAL_FACTOR ** suspect.refusals);
  suspect.refusals += 1;
  suspect.refusedUntil = now + refusalMs;
  suspect.bound = weight + 1;
  return { kind: 'refused', suspect };
};

/** Copies that run at one moment may share another cause, such as a rack that fails. */
const hasRepeated = ({ moments, carried }: Suspect): boolean => (
  moments.size + (carried > 0 ? 1 : 0) > 1);

const judge = (table: CrashTable, suspect: Suspect, now: number): StageChange[] => {
  const weight = weighSuspect(suspect);
  if (now < suspect.refusedUntil || weight < WATCH_WEIGHT - EPSILON) return [];
  table.revision += 1;
  const isCertain = weight >= suspect.bound - EPSILON && hasRepeated(suspect);
  if (isCertain) return [refuse(suspect, weight, now)];
  return [{ kind: 'watched', suspect }];
};

const settleMoment = (table: CrashTable, moment: EndMoment, now: number): StageChange[] => {
  moment.isSettled = true;
  const fingerprints = new Set([...moment.servers.values()].flatMap((under) => [...under]));
  return [...fingerprints].flatMap((fingerprint) => {
    const suspect = table.suspects.get(fingerprint);
    return suspect ? judge(table, suspect, now) : [];
  });
};

/**
 * Judges the requests under ends that are no longer news, and returns what changed for them.
 *
 * @example
 * const changes = judgeEnds(table, clock.now());
 */
export const judgeEnds = (table: CrashTable, now: number): StageChange[] => {
  const due = [...table.ends.values()]
    .filter(({ at, isSettled }) => !isSettled && now - at > JOINT_END_MS);
  return [...new Set(due)].flatMap((moment) => settleMoment(table, moment, now));
};

/**
 * Forgets what nothing was heard against for long, and returns what changed for it.
 *
 * @example
 * const changes = expireSuspects(table, clock.now());
 */
export const expireSuspects = (table: CrashTable, now: number): StageChange[] => {
  const changes = [...table.suspects.values()]
    .filter(({ notedAt, refusedUntil }) => (
      now - Math.max(notedAt, refusedUntil) > SUSPECT_KEPT_MS))
    .flatMap((suspect) => releaseSuspect(table, suspect, now));
  [...table.ends]
    .filter(([, { at }]) => now - at > SUSPECT_KEPT_MS)
    .forEach(([server]) => table.ends.delete(server));
  return changes;
};
