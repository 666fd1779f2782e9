import type { LogState } from './logTypes';

/** Entries of the log that a learner may lack when it begins to vote. */
const MAX_LAG_ENTRIES = 4;
/** Age of the newest round that a learner has acknowledged when it begins to vote, in ms. */
const MAX_ACK_AGE_MS = 500;

/**
 * Whether a learner may become a voter: it has all but the last entries, and has acknowledged a
 * recent round. What it acknowledged earlier does not show that it still runs, or has its disk.
 *
 * @param now monotonic milliseconds
 * @example
 * const ready = learners.filter(({ id }) => isReadyToVote(state, id, clock.now()));
 */
export const isReadyToVote = (
  { peers, commitIndex, roundSentAt }: LogState,
  id: string,
  now: number,
): boolean => {
  const progress = peers.get(id);
  if (!progress || progress.matchIndex === 0) return false;
  const ackAgeMs = now - (roundSentAt.get(progress.ackedRound) ?? -Infinity);
  return commitIndex - progress.matchIndex <= MAX_LAG_ENTRIES && ackAgeMs <= MAX_ACK_AGE_MS;
};
