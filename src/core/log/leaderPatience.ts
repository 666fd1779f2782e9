/**
 * How long a replica waits for a leader before it takes part in an election.
 *
 * A leader that is out of processor time sends its heartbeats late. If another replica replaced it
 * for that, the next leader would have the same load, and all entries to answer at once besides.
 * The lease of a leader does not depend on it: no replica votes within `electionTimeoutMs` of its
 * last contact, however patient it is.
 */
import type { LogState } from './logTypes';

/** Silence that counts as a failure, in multiples of the longest recent gap between messages. */
const GAP_FACTOR = 3;
/** What is left of the longest gap after each further message; half of it after some 35. */
const GAP_DECAY = 0.98;

/**
 * Records a message of the leader: a long gap since the one before raises the patience.
 *
 * @example
 * recordLeaderGap(state, message.from, now);
 */
export const recordLeaderGap = (state: LogState, leaderId: string, now: number): void => {
  const isSameLeader = state.role === 'follower' && state.leaderId === leaderId;
  const gapMs = isSameLeader ? now - state.lastLeaderContactAt : 0;
  // A longer gap would raise the patience no further, but for longer.
  const countedMs = Math.min(gapMs, state.timings.maxPatienceMs / GAP_FACTOR);
  state.leaderGapMs = Math.max(countedMs, GAP_DECAY * state.leaderGapMs);
};

/**
 * Computes the silence of the leader after which it counts as failed, in milliseconds.
 *
 * @example
 * const isSilent = now - state.lastLeaderContactAt >= computePatienceMs(state);
 */
export const computePatienceMs = ({ leaderGapMs, timings }: LogState): number => (
  Math.min(timings.maxPatienceMs, Math.max(timings.electionTimeoutMs, GAP_FACTOR * leaderGapMs)));
