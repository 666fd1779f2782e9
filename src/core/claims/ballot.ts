import type { Ballot } from '../../protocol/generated/beechlift';

/** Lower than every proposed ballot. */
export const ZERO_BALLOT: Ballot = { round: 0, proposer: '' };

/**
 * Compares two ballots by round, then by proposer. Negative when the first is lower.
 *
 * @example
 * if (compareBallots(ballot, record.promised) < 0) refuse();
 */
export const compareBallots = (a: Ballot, b: Ballot): number => {
  if (a.round !== b.round) return a.round - b.round;
  if (a.proposer === b.proposer) return 0;
  return a.proposer < b.proposer ? -1 : 1;
};
