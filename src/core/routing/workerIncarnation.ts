/**
 * Which start of a backend server an announcement comes from.
 *
 * A server may start again under the id that it had. It then knows nothing of before, and counts
 * its announcements anew; what the start before sent may still be on its way. A start is named by
 * the time of day at which it was born. Clocks jump, so a later start may have been born earlier by
 * its clock: the order of births alone does not decide.
 */
import type { WorkerAnnouncement } from '../../protocol/generated/beechlift';

/** Birth of a server that tells none. */
export const NO_START_TIME = 0;

/** Starts that are remembered for each id; the oldest are forgotten beyond it. */
const MAX_SUPERSEDED = 8;

/**
 * How long the known start must have been silent before one that was born earlier takes its place,
 * in milliseconds: two of the usual announcements of 1.2 s. What a cut held up arrives at once, and
 * the known start is heard before this is over.
 */
const PROOF_WINDOW_MS = 2_500;

/** How an announcement relates to the start that is known under its id. */
export type IncarnationRelation = 'same' | 'newer' | 'older' | 'unproven';

/** A start that was heard and may be newer than the known one, although it was born earlier. */
export interface UnprovenIncarnation {
  readonly born: number;
  readonly sequence: number;
  /** When it was first heard, monotonic milliseconds. */
  readonly firstSeenAt: number;
}

/** What is known of the starts of one id. */
export interface KnownIncarnations {
  /** Birth of the present start. */
  readonly born: number;
  /** Births of the starts before it, oldest first. */
  readonly superseded: readonly number[];
}

type AnnouncedIncarnation = Pick<WorkerAnnouncement, 'born' | 'state'>;

/**
 * Judges which start an announcement comes from.
 *
 * Guards a server that has started again against what its earlier start sent: a start that was
 * superseded stays so. One that tells its birth is not spoken for by an announcement without one,
 * but for a farewell, which may name no start.
 *
 * @example
 * judgeStart({ born: 1_700, superseded: [] }, said); // 'newer' where it was born at 1_800
 */
export const compareIncarnation = (known: KnownIncarnations, { born, state }: AnnouncedIncarnation): IncarnationRelation => {
  if (born === known.born) return 'same';
  if (born === NO_START_TIME) return state === 'gone' ? 'same' : 'older';
  if (known.superseded.includes(born)) return 'older';
  return born > known.born ? 'newer' : 'unproven';
};

/**
 * Adds a start to those that are over.
 *
 * @example
 * const superseded = addSuperseded(known.superseded, known.born);
 */
export const addSuperseded = (superseded: readonly number[], born: number): readonly number[] => {
  if (born === NO_START_TIME || superseded.includes(born)) return superseded;
  return [...superseded, born].slice(-MAX_SUPERSEDED);
};

/**
 * Whether a start that was born before the known one has proved to be the later one, as its
 * server's clock went back: it is heard again after a while, its count has grown, and the known
 * start has said nothing since.
 *
 * @param knownSeenAt when the known start was last heard, monotonic milliseconds
 * @example
 * if (isProven(worker.unproven, said, worker.heardAt, now)) noteNewStart(table, worker, said, now);
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
