import type { LogMessage } from '../../protocol/generated/beechlift';
import { computePatienceMs } from './leaderPatience';
import { startLeading } from './replication';
import {
  addEffect, becomeFollower, hasMajority, isVoter, listPeers, persistState, readLastIndex,
  readLastTerm, resetElectionTimer, resetPreVoteTimer, sendMessage,
} from './logState';
import type { LogMessageKind, LogState, LogStep } from './logTypes';

/** Whether the log of a candidate is at least as up to date as the log of this replica. */
const isUpToDate = (state: LogState, message: LogMessage): boolean => {
  const lastTerm = readLastTerm(state);
  if (message.lastTerm !== lastTerm) return message.lastTerm > lastTerm;
  return message.lastIndex >= readLastIndex(state);
};

/*
 * Protects the leader lease: a replica grants no vote within the election timeout after its last
 * contact with a leader. Otherwise a new leader could accept a manifest while the old leader still
 * grants configuration leases on an older version. The leader measures the same timeout from the
 * time of sending and subtracts a margin, so its lease ends first.
 */
const hasLeaderContact = ({ state, now }: LogStep): boolean => (
  state.role === 'leader' || now - state.lastLeaderContactAt < state.timings.electionTimeoutMs
);

const requestVotes = (step: LogStep, kind: LogMessageKind, term: number): void => {
  const { state } = step;
  const fields = { term, lastIndex: readLastIndex(state), lastTerm: readLastTerm(state) };
  listPeers(state)
    .filter((id) => isVoter(state, id))
    .forEach((id) => sendMessage(step, kind, id, fields));
};

const startElection = (step: LogStep): void => {
  const { state } = step;
  state.role = 'candidate';
  state.term += 1;
  state.votedFor = state.id;
  state.leaderId = '';
  state.votes = new Set([state.id]);
  resetElectionTimer(step);
  persistState(step);
  addEffect(step, { kind: 'roleChanged', role: 'candidate', term: state.term });
  if (hasMajority(state, state.votes)) startLeading(step);
  else requestVotes(step, 'vote', state.term);
};

/**
 * Starts a pre-vote: checks whether an election could be won, without raising the term. A VM that
 * returns after a network partition therefore does not depose a leader that the other replicas can
 * reach.
 *
 * @example
 * if (now >= state.electionAt) startPreVote(step);
 */
export const startPreVote = (step: LogStep): void => {
  const { state } = step;
  if (!isVoter(state, state.id)) return;
  state.role = 'preCandidate';
  state.leaderId = '';
  state.votes = new Set([state.id]);
  resetPreVoteTimer(step);
  if (hasMajority(state, state.votes)) startElection(step);
  else requestVotes(step, 'preVote', state.term + 1);
};

/*
 * Guards against a split vote after a restart of all replicas, when several start a pre-vote within
 * the same milliseconds. If two replicas granted each other's pre-vote, both would start an
 * election, and a full election timeout would pass before the next attempt. Between replicas with
 * equal logs, the one with the lower id has priority.
 */
const hasTieBreakPriority = (state: LogState, message: LogMessage): boolean => {
  const isSameLog = message.lastTerm === readLastTerm(state)
    && message.lastIndex === readLastIndex(state);
  return state.role !== 'preCandidate' || !isSameLog || message.from < state.id;
};

/** Whether the leader may only be slow: its messages came late before. */
const isLeaderAwaited = ({ state, now }: LogStep): boolean => (
  state.leaderId !== '' && now - state.lastLeaderContactAt < computePatienceMs(state));

/** Answers a pre-vote request. The answer does not commit this replica to anything. */
export const handlePreVote = (step: LogStep, message: LogMessage): void => {
  const { state } = step;
  const granted = !hasLeaderContact(step)
    && !isLeaderAwaited(step)
    && message.term > state.term
    && isUpToDate(state, message)
    && hasTieBreakPriority(state, message);
  sendMessage(step, 'preVoteReply', message.from, {
    granted, term: granted ? message.term : state.term,
  });
};

/** Counts a granted pre-vote and starts the election when a majority has granted it. */
export const handlePreVoteReply = (step: LogStep, message: LogMessage): void => {
  const { state } = step;
  if (!message.granted) {
    if (message.term > state.term) becomeFollower(step, message.term, '');
    return;
  }
  if (state.role !== 'preCandidate' || message.term !== state.term + 1) return;
  state.votes.add(message.from);
  if (hasMajority(state, state.votes)) startElection(step);
};

/** Answers a vote request. Grants one vote per term and syncs it to disk before the reply. */
export const handleVote = (step: LogStep, message: LogMessage): void => {
  const { state } = step;
  if (message.term < state.term || (hasLeaderContact(step) && state.leaderId !== message.from)) {
    sendMessage(step, 'voteReply', message.from, { granted: false });
    return;
  }
  if (message.term > state.term) becomeFollower(step, message.term, '');
  const canVote = state.votedFor === '' || state.votedFor === message.from;
  const granted = canVote && isUpToDate(state, message);
  if (granted) {
    state.votedFor = message.from;
    resetElectionTimer(step);
    persistState(step);
  }
  sendMessage(step, 'voteReply', message.from, { granted });
};

/** Counts a granted vote and becomes leader when a majority has granted it. */
export const handleVoteReply = (step: LogStep, message: LogMessage): void => {
  const { state } = step;
  if (message.term > state.term) {
    becomeFollower(step, message.term, '');
    return;
  }
  if (state.role !== 'candidate' || message.term !== state.term || !message.granted) return;
  state.votes.add(message.from);
  if (hasMajority(state, state.votes)) startLeading(step);
};
