/**
 * Which incarnation of a backend server an announcement comes from.
 *
 * A server may restart under the same id. It then has no state from before and numbers its
 * announcements from the beginning, while announcements of the earlier incarnation may still be in
 * flight. An incarnation is identified by its start time, which is the time of day on the server's
 * clock. Clocks jump, so a later incarnation may have an earlier start time: the order of start
 * times alone does not decide.
 */
import type { WorkerAnnouncement } from '../../protocol/generated/beechlift';

/** Start time of a server that does not report one. */
export const NO_START_TIME = 0;

/** Most earlier incarnations that are stored per id; older ones are dropped. */
const MAX_SUPERSEDED = 8;

/**
 * How long the known incarnation must have been silent before one with an earlier start time
 * replaces it, in milliseconds: two of the usual announcement intervals of 1.2 s. Announcements
 * delayed by a network partition arrive all at once, and the known incarnation announces itself
 * again before this time is over.
 */
const PROOF_WINDOW_MS = 2_500;

/** Relation of an announcement to the known incarnation of its id. */
export type IncarnationRelation = 'same' | 'newer' | 'older' | 'unproven';

/** An incarnation that may be newer than the known one although its start time is earlier. */
export interface UnprovenIncarnation {
  readonly born: number;
  readonly sequence: number;
  /** When it was first seen, monotonic milliseconds. */
  readonly firstSeenAt: number;
}

/** The known incarnations of one id. */
export interface KnownIncarnations {
  /** Start time of the current incarnation. */
  readonly born: number;
  /** Start times of earlier incarnations, oldest first. */
  readonly superseded: readonly number[];
}

type AnnouncedIncarnation = Pick<WorkerAnnouncement, 'born' | 'state'>;

/**
 * Determines which incarnation an announcement comes from.
 *
 * Protects a restarted server from announcements of its earlier incarnation: a superseded
 * incarnation never becomes current again. An announcement without a start time does not apply to
 * an incarnation that reports one, except a deregistration, which may lack the start time.
 *
 * @example
 * compareIncarnation({ born: 1_700, superseded: [] }, announcement); // 'newer' if born at 1_800
 */
export const compareIncarnation = (
  known: KnownIncarnations,
  { born, state }: AnnouncedIncarnation,
): IncarnationRelation => {
  if (born === known.born) return 'same';
  if (born === NO_START_TIME) return state === 'gone' ? 'same' : 'older';
  if (known.superseded.includes(born)) return 'older';
  return born > known.born ? 'newer' : 'unproven';
};

/**
 * Adds an incarnation to the superseded ones.
 *
 * @example
 * const superseded = addSuperseded(known.superseded, known.born);
 */
export const addSuperseded = (superseded: readonly number[], born: number): readonly number[] => {
  if (superseded.includes(born)) return superseded;
  return [...superseded, born].slice(-MAX_SUPERSEDED);
};

/**
 * Whether an incarnation with an earlier start time than the known one has proved to be the later
 * one, because the server's clock went back: it announces itself again after a while, its sequence
 * number has grown, and the known incarnation has sent nothing since.
 *
 * @param knownSeenAt when the known incarnation was last seen, monotonic milliseconds
 * @example
 * if (isProven(worker.unproven, announcement, worker.lastSeenAt, now)) replaceIncarnation(…);
 */
export const isProven = (
  unproven: UnprovenIncarnation | undefined,
  { born, sequence }: Pick<WorkerAnnouncement, 'born' | 'sequence'>,
  knownSeenAt: number,
  now: number,
): boolean => unproven !== undefined
  && unproven.born === born
  && sequence > unproven.sequence
  && knownSeenAt < unproven.firstSeenAt
  && now - unproven.firstSeenAt >= PROOF_WINDOW_MS;
