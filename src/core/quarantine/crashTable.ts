/**
 * Which requests end the backend servers that run them, judged from what entries saw.
 *
 * Whoever was open at a server when it ended is a suspect, and all but one of them are innocent. A
 * request becomes certain by being there each time: its weight is the sum of the ends under it.
 * Servers that end at the same moment share one cause, so an end counts by the part of these that
 * the request explains: those of a rack that fails are not condemned. Being served clears it.
 */
import type { CrashSighting } from '../../protocol/generated/beechlift';

/** Servers that ended within a moment of one another, and the requests under each. */
export interface CrashGroup {
  /** When the first of them ended, monotonic milliseconds. */
  readonly at: number;
  readonly servers: Map<string, Set<string>>;
  /** What was heard of each of them since. */
  readonly announcements: Map<string, LivenessEvidence>;
  isSettled: boolean;
}

/** Announcements of a server after connections to it broke off. */
interface LivenessEvidence {
  readonly count: number;
  /** Number of the newest; the same one may come over several ways. */
  readonly sequence: number;
}

/** A request under which servers ended. */
export interface Suspect {
  readonly fingerprint: string;
  /** Starts of the servers that ended under it. */
  readonly servers: Set<string>;
  /** Weight that an earlier leader came to. */
  inheritedWeight: number;
  readonly crashGroups: Set<CrashGroup>;
  /** Weight at which it is refused, or refused again. */
  refusalThreshold: number;
  refusals: number;
  /** Until when it is refused, monotonic milliseconds. */
  refusedUntil: number;
  /** When something was last heard against it, monotonic milliseconds. */
  lastEvidenceAt: number;
}

/**
 * - `noted`: treated as any other request.
 * - `watched`: one copy at a time, apart from other suspects, and not sent again by an entry.
 * - `refused`: reaches no server.
 */
export type SuspectStage = 'noted' | 'watched' | 'refused';

/** What is kept of suspect requests. */
export interface CrashTable {
  /** Grows when what entries are told changes. */
  revision: number;
  readonly suspects: Map<string, Suspect>;
  /** Moments by each server that ended in them. */
  readonly groupsByServer: Map<string, CrashGroup>;
}

/** A change of how a request is treated. */
export interface StageChange {
  readonly kind: 'watched' | 'refused' | 'cleared';
  readonly suspect: Suspect;
}

/** Ends within this of one another have one cause, in milliseconds. */
export const CRASH_GROUP_WINDOW_MS = 100;

/** Ends of servers, one at a time, after which a request is watched, and refused. */
export const WATCH_THRESHOLD = 2;
export const REFUSAL_THRESHOLD = 3;

/** Bounds on suspects, on ends, and on the suspects under the end of one server. */
const MAX_SUSPECTS = 4_096;
const MAX_CRASHES = 4_096;
const MAX_PER_SERVER = 256;

/** Sums of thirds and sevenths are compared with whole numbers. */
export const WEIGHT_EPSILON = 1e-6;

/** Revision of a table in which nothing that is told has changed. */
export const FIRST_REVISION = 1;

/**
 * Names one start of a server.
 *
 * @example
 * nameStart({ workerId: 'w1', born: 0 }); // 'w1@0'
 */
export const formatIncarnation = ({ workerId, born }: Pick<CrashSighting, 'workerId' | 'born'>): string => (
  `${workerId}@${born}`);

/** Makes an empty table. */
export const makeCrashTable = (): CrashTable => ({
  revision: FIRST_REVISION, suspects: new Map(), groupsByServer: new Map(),
});

/** What a moment says against a request: its ends, by the part of the moment that it explains. */
export const computeGroupWeight = ({ servers }: CrashGroup, fingerprint: string): number => {
  const ends = [...servers.values()].filter((under) => under.has(fingerprint)).length;
  return ends === 0 ? 0 : (ends * ends) / servers.size;
};

/**
 * Weighs what speaks against a request: 1 for each server that ended alone under it.
 *
 * @example
 * weighSuspect(suspect); // 2.25 after two servers alone, and one of four that ended together
 */
export const computeSuspectWeight = ({ fingerprint, inheritedWeight: carried, crashGroups: moments }: Suspect): number => (
  [...moments].reduce((sum, moment) => sum + computeGroupWeight(moment, fingerprint), carried)
);

/** What is left of the time for which a request is refused, in milliseconds. */
export const computeRemainingRefusalMs = ({ refusedUntil }: Suspect, now: number): number => (
  Math.max(0, Math.ceil(refusedUntil - now)));

/** Tells how a request is to be treated. */
export const findStage = (
  { suspects }: CrashTable,
  fingerprint: string,
  now: number,
): SuspectStage => {
  const suspect = suspects.get(fingerprint);
  if (!suspect) return 'noted';
  if (now < suspect.refusedUntil) return 'refused';
  return computeSuspectWeight(suspect) >= WATCH_THRESHOLD - WEIGHT_EPSILON ? 'watched' : 'noted';
};

/**
 * Tells whether a watched request waits until an end under it has been judged: which other servers
 * ended with it is known a moment later.
 */
export const hasUnsettledCrash = ({ suspects }: CrashTable, fingerprint: string): boolean => (
  [...suspects.get(fingerprint)?.crashGroups ?? []].some(({ isSettled }) => !isSettled)
);

const makeSuspect = (fingerprint: string, now: number): Suspect => ({
  fingerprint,
  servers: new Set(),
  inheritedWeight: 0,
  crashGroups: new Set(),
  refusalThreshold: REFUSAL_THRESHOLD,
  refusals: 0,
  refusedUntil: -Infinity,
  lastEvidenceAt: now,
});

/** The oldest that is not watched, else the oldest that is: a flood frees nobody. */
const findEvictable = (table: CrashTable, now: number): Suspect | undefined => {
  const isAt = (stage: SuspectStage) => ({ fingerprint }: Suspect): boolean => (
    findStage(table, fingerprint, now) === stage);
  const suspects = [...table.suspects.values()];
  return suspects.find(isAt('noted')) ?? suspects.find(isAt('watched'));
};

const removeSuspect = (table: CrashTable, suspect: Suspect): void => {
  table.suspects.delete(suspect.fingerprint);
  suspect.crashGroups.forEach(({ servers }) => (
    servers.forEach((fingerprints) => fingerprints.delete(suspect.fingerprint))));
};

/** The suspect of a fingerprint, made anew where it is not known; none where there is no room. */
export const findOrMakeSuspect = (
  table: CrashTable,
  fingerprint: string,
  now: number,
): Suspect | undefined => {
  const known = table.suspects.get(fingerprint);
  if (known) return known;
  if (table.suspects.size >= MAX_SUSPECTS) {
    const least = findEvictable(table, now);
    if (!least) return undefined;
    removeSuspect(table, least);
  }
  const suspect = makeSuspect(fingerprint, now);
  table.suspects.set(fingerprint, suspect);
  return suspect;
};

const findOrMakeGroup = ({ groupsByServer: ends }: CrashTable, server: string, at: number): CrashGroup => {
  const known = ends.get(server)
    ?? [...ends.values()].find((moment) => Math.abs(moment.at - at) <= CRASH_GROUP_WINDOW_MS);
  const moment = known ?? {
    at, servers: new Map<string, Set<string>>(), announcements: new Map(), isSettled: false,
  };
  const [oldest] = ends.keys();
  if (ends.size >= MAX_CRASHES && oldest !== undefined) ends.delete(oldest);
  ends.set(server, moment);
  return moment;
};

/**
 * Notes that a server ended under a request.
 *
 * @param server names one start of it
 * @param at when it ended, monotonic milliseconds
 * @example
 * noteEnd(table, fingerprint, 'w1@0', clock.now(), clock.now());
 */
export const recordCrash = (
  table: CrashTable,
  fingerprint: string,
  server: string,
  at: number,
  now: number,
): void => {
  if (table.suspects.get(fingerprint)?.servers.has(server)) return;
  const moment = findOrMakeGroup(table, server, at);
  const under = moment.servers.get(server) ?? new Set<string>();
  moment.servers.set(server, under);
  if (under.size >= MAX_PER_SERVER) return;
  const suspect = findOrMakeSuspect(table, fingerprint, now);
  if (!suspect) return;
  under.add(fingerprint);
  suspect.servers.add(server);
  suspect.crashGroups.add(moment);
  suspect.lastEvidenceAt = now;
  moment.isSettled = false;
};

/** Takes a suspect out that is innocent, and returns what changed for it. */
export const clearSuspect = (table: CrashTable, suspect: Suspect, now: number): StageChange[] => {
  const wasTold = findStage(table, suspect.fingerprint, now) !== 'noted';
  removeSuspect(table, suspect);
  if (!wasTold) return [];
  table.revision += 1;
  return [{ kind: 'cleared', suspect }];
};

/**
 * Notes that a request was served whole, which one that ends servers never is.
 *
 * @example
 * const changes = noteServed(table, fingerprint, clock.now());
 */
export const recordServed = (
  table: CrashTable,
  fingerprint: string,
  now: number,
): StageChange[] => {
  const suspect = table.suspects.get(fingerprint);
  return suspect ? clearSuspect(table, suspect, now) : [];
};
