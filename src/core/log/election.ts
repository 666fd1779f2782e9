import type { LogMessage } from '../../protocol/generated/beechlift';
import { startLeading } from './replication';
import {
  addEffect, becomeFollower, hasMajority, isVoter, listPeers, persistState, readLastIndex,
  readLastTerm, resetElectionTimer, resetPreVoteTimer, sendMessage,
} from './logState';
import type { LogMessageKind, LogState, LogStep } from './logTypes';

/** Whether the log of a candidate holds at least what this replica's does. */
const isUpToDate = (state: LogState, message: LogMessage): boolean => {
  const lastTerm = readLastTerm(state);
  if (message.lastTerm !== lastTerm) return message.lastTerm > lastTerm;
  return message.lastIndex >= readLastIndex(state);
};

/*
 * Guards the lease of a leader: while this replica has heard from one within the election time it
 * helps no other to power. Were it to vote, a manifest could be accepted by a new leader while the
 * old one still grants configuration leases on an older version. The leader itself counts the same
 * time from before it sent, less a margin, so its lease ends first.
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
 * Asks whether an election could be won, without raising the term: a VM that was cut off and
 * returns does not unseat a leader that the others hear.
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
 * Guards against a split vote after a restart of all, when replicas ask within the same
 * milliseconds: were both granted, both would stand, and a whole silence would pass before the next
 * try. Of two with the same log the one with the lower id goes first.
 */
const hasTieBreakPriority = (state: LogState, message: LogMessage): boolean => {
  const isSameLog = message.lastTerm === readLastTerm(state)
    && message.lastIndex === readLastIndex(state);
  return state.role !== 'preCandidate' || !isSameLog || message.from < state.id;
};

/** Answers a pre-vote; nothing is promised by it. */
export const handlePreVote = (step: LogStep, message: LogMessage): void => {
  const { state } = step;
  const granted = !hasLeaderContact(step)
    && message.term > state.term
    && isUpToDate(state, message)
    && hasTieBreakPriority(state, message);
  sendMessage(step, 'preVoteReply', message.from, {
    granted, term: granted ? message.term : state.term,
  });
};

/** Counts a pre-vote. */
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

/** Votes at most once a term; the vote is synced before the answer leaves. */
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

/** Counts a vote. */
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
