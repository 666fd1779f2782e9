/**
 * Which requests crash the backend servers that run them, inferred from what entries observed.
 *
 * Every request that was open at a server when it crashed is a suspect, and at most one of them is
 * the cause. The more crashes a request was open at, the likelier it is the cause: its weight is
 * the sum of these crashes. Servers that crash at the same moment are assumed to share one cause,
 * so a crash counts only in proportion to the servers of its group at which the request was open. A
 * rack failure therefore adds little weight to the requests on the rack. A request that is served
 * completely is no longer a suspect.
 */
import type { CrashSighting } from '../../protocol/generated/beechlift';
import { isPartKey } from './promptPart';

/** Servers that crashed within a short time of one another, and the open requests of each. */
export interface CrashGroup {
  /** When the first of them crashed, monotonic milliseconds. */
  readonly at: number;
  readonly servers: Map<string, Set<string>>;
  /** Announcements that each of them has sent since then. */
  readonly announcements: Map<string, LivenessEvidence>;
  /** Whether its requests have been evaluated since the last recorded crash. */
  isSettled: boolean;
}

/** Announcements received from a server after connections to it broke. */
interface LivenessEvidence {
  readonly count: number;
  /** Number of the newest; the same announcement may arrive over several paths. */
  readonly sequence: number;
}

/** A request that was open at servers when they crashed. */
export interface Suspect {
  /** Identifies the request; identical for all of its retries. */
  readonly fingerprint: string;
  /** Keys of the server incarnations that crashed while it was open at them. */
  readonly servers: Set<string>;
  /** Weight computed by an earlier leader. */
  inheritedWeight: number;
  readonly crashGroups: Set<CrashGroup>;
  /** Weight at which it is refused, or refused again. */
  refusalThreshold: number;
  refusals: number;
  /** End of its refusal, monotonic milliseconds. */
  refusedUntil: number;
  /** Time of the latest evidence against it, monotonic milliseconds. */
  lastEvidenceAt: number;
}

/**
 * - `noted`: treated like any other request. Entries are told of noted parts, so that they report
 *   the first answer with one.
 * - `watched`: one copy at a time, apart from other suspects, and not retried by an entry.
 * - `refused`: sent to no server.
 */
export type SuspectStage = 'noted' | 'watched' | 'refused';

/** Suspect requests, and the crashes that count against them. */
export interface CrashTable {
  /** Increases when the list that entries receive changes. */
  revision: number;
  readonly suspects: Map<string, Suspect>;
  /** Crash group of each server that crashed. */
  readonly groupsByServer: Map<string, CrashGroup>;
}

/** A change in how a request is treated. */
export interface StageChange {
  readonly kind: SuspectStage | 'cleared';
  readonly suspect: Suspect;
}

/** Crashes within this time of one another are assumed to share one cause, in milliseconds. */
export const CRASH_GROUP_WINDOW_MS = 100;

/** Weight from which a request is watched. Each server that crashed alone counts 1. */
export const WATCH_THRESHOLD = 2;
/** Weight from which a request is refused for the first time. */
export const REFUSAL_THRESHOLD = 3;

/** Limits on suspects, on crashes, and on suspects per crashed server. */
const MAX_SUSPECTS = 4_096;
const MAX_CRASHES = 4_096;
const MAX_PER_SERVER = 256;

/** Weights are sums of fractions such as thirds, and are compared with whole numbers. */
export const WEIGHT_EPSILON = 1e-6;

/** Revision of a table whose published list has never changed. */
export const FIRST_REVISION = 1;

/**
 * Formats the key of one incarnation of a server.
 *
 * @example
 * formatIncarnation({ workerId: 'w1', born: 0 }); // 'w1@0'
 */
export const formatIncarnation = (
  { workerId, born }: Pick<CrashSighting, 'workerId' | 'born'>,
): string => (
  `${workerId}@${born}`);

/** Creates an empty table. */
export const makeCrashTable = (): CrashTable => ({
  revision: FIRST_REVISION, suspects: new Map(), groupsByServer: new Map(),
});

/** Computes the weight of a crash group: the request's crashes, times their share of the group. */
export const computeGroupWeight = ({ servers }: CrashGroup, fingerprint: string): number => {
  const crashes = [...servers.values()]
    .filter((fingerprints) => fingerprints.has(fingerprint)).length;
  return crashes === 0 ? 0 : (crashes * crashes) / servers.size;
};

/**
 * Computes the weight of the evidence against a request: 1 for each server that crashed alone.
 *
 * @example
 * computeSuspectWeight(suspect); // 2.25: two servers alone, and one of four that crashed together
 */
export const computeSuspectWeight = (
  { fingerprint, inheritedWeight, crashGroups }: Suspect,
): number => (
  [...crashGroups]
    .reduce((sum, group) => sum + computeGroupWeight(group, fingerprint), inheritedWeight)
);

/** Remaining time of a request's refusal, in milliseconds. */
export const computeRemainingRefusalMs = ({ refusedUntil }: Suspect, now: number): number => (
  Math.max(0, Math.ceil(refusedUntil - now)));

/** Finds how a request is to be treated. */
export const findStage = (
  { suspects }: CrashTable,
  fingerprint: string,
  now: number,
): SuspectStage => {
  const suspect = suspects.get(fingerprint);
  if (!suspect) return 'noted';
  if (now < suspect.refusedUntil) return 'refused';
  const isWatched = !isPartKey(fingerprint)
    && computeSuspectWeight(suspect) >= WATCH_THRESHOLD - WEIGHT_EPSILON;
  return isWatched ? 'watched' : 'noted';
};

/** Whether entries are told of a suspect: all parts of prompts, and requests beyond `noted`. */
export const isListed = (table: CrashTable, fingerprint: string, now: number): boolean => (
  isPartKey(fingerprint) || findStage(table, fingerprint, now) !== 'noted');

/**
 * Whether a watched request must wait because one of its crashes has not been evaluated yet: it
 * takes a moment until all servers that crashed together are known.
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

/**
 * Finds the suspect to evict: the oldest noted one, otherwise the oldest watched one. Refused ones
 * are never evicted, so that a flood of new suspects cannot end their refusal.
 */
const findEvictable = (table: CrashTable, now: number): Suspect | undefined => {
  const hasStage = (stage: SuspectStage) => ({ fingerprint }: Suspect): boolean => (
    findStage(table, fingerprint, now) === stage);
  const suspects = [...table.suspects.values()];
  return suspects.find(hasStage('noted')) ?? suspects.find(hasStage('watched'));
};

const removeSuspect = (table: CrashTable, suspect: Suspect): void => {
  table.suspects.delete(suspect.fingerprint);
  suspect.crashGroups.forEach(({ servers }) => (
    servers.forEach((fingerprints) => fingerprints.delete(suspect.fingerprint))));
};

/** Finds the suspect of a fingerprint or adds it; undefined when the table is full. */
export const findOrMakeSuspect = (
  table: CrashTable,
  fingerprint: string,
  now: number,
): Suspect | undefined => {
  const known = table.suspects.get(fingerprint);
  if (known) return known;
  if (table.suspects.size >= MAX_SUSPECTS) {
    const evictable = findEvictable(table, now);
    if (!evictable) return undefined;
    removeSuspect(table, evictable);
  }
  const suspect = makeSuspect(fingerprint, now);
  table.suspects.set(fingerprint, suspect);
  return suspect;
};

const findOrMakeGroup = (
  { groupsByServer }: CrashTable,
  server: string,
  at: number,
): CrashGroup => {
  const known = groupsByServer.get(server)
    ?? [...groupsByServer.values()]
      .find((group) => Math.abs(group.at - at) <= CRASH_GROUP_WINDOW_MS);
  const group = known ?? {
    at, servers: new Map<string, Set<string>>(), announcements: new Map(), isSettled: false,
  };
  const [oldest] = groupsByServer.keys();
  if (groupsByServer.size >= MAX_CRASHES && oldest !== undefined) groupsByServer.delete(oldest);
  groupsByServer.set(server, group);
  return group;
};

/**
 * Records that a server crashed while a request was open at it.
 *
 * @param server key of its incarnation
 * @param at when it crashed, monotonic milliseconds
 * @example
 * recordCrash(table, fingerprint, 'w1@0', clock.now(), clock.now());
 */
export const recordCrash = (
  table: CrashTable,
  fingerprint: string,
  server: string,
  at: number,
  now: number,
): void => {
  if (table.suspects.get(fingerprint)?.servers.has(server)) return;
  const group = findOrMakeGroup(table, server, at);
  const fingerprints = group.servers.get(server) ?? new Set<string>();
  group.servers.set(server, fingerprints);
  if (fingerprints.size >= MAX_PER_SERVER) return;
  const suspect = findOrMakeSuspect(table, fingerprint, now);
  if (!suspect) return;
  fingerprints.add(fingerprint);
  suspect.servers.add(server);
  suspect.crashGroups.add(group);
  suspect.lastEvidenceAt = now;
  group.isSettled = false;
};

/** Removes a suspect, and returns the change if it was watched or refused. */
export const clearSuspect = (table: CrashTable, suspect: Suspect, now: number): StageChange[] => {
  const wasListed = isListed(table, suspect.fingerprint, now);
  removeSuspect(table, suspect);
  if (!wasListed) return [];
  table.revision += 1;
  return [{ kind: 'cleared', suspect }];
};

/**
 * Records that a request was served completely, which a request that crashes servers never is.
 *
 * @example
 * const changes = recordServed(table, fingerprint, clock.now());
 */
export const recordServed = (
  table: CrashTable,
  fingerprint: string,
  now: number,
): StageChange[] => {
  const suspect = table.suspects.get(fingerprint);
  return suspect ? clearSuspect(table, suspect, now) : [];
};
