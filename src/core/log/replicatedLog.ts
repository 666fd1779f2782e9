import type { LogMessage } from '../../protocol/generated/beechlift';
import {
  handlePreVote, handlePreVoteReply, handleVote, handleVoteReply, startPreVote,
} from './election';
import {
  broadcastAppend, resetLeaderLease, handleAppend, handleAppendReply, handleChangeReplicas,
  handlePropose, handleSynced, resendAppends,
} from './replication';
import { findTerm, hasMajority } from './logState';
import { handleSnapshot, handleSnapshotReply, handleSnapshotTaken } from './snapshotTransfer';
import type {
  LogEffect, LogEvent, LogMessageKind, LogState, LogStep,
} from './logTypes';

const messageHandlers: Record<LogMessageKind, (step: LogStep, message: LogMessage) => void> = {
  preVote: handlePreVote,
  preVoteReply: handlePreVoteReply,
  vote: handleVote,
  voteReply: handleVoteReply,
  append: handleAppend,
  appendReply: handleAppendReply,
  snapshot: handleSnapshot,
  snapshotReply: handleSnapshotReply,
};

const isMessageKind = (kind: string): kind is LogMessageKind => (
  Object.hasOwn(messageHandlers, kind)
);

const handleMessage = (step: LogStep, message: LogMessage): void => {
  if (message.to !== step.state.id || !isMessageKind(message.kind)) return;
  messageHandlers[message.kind](step, message);
};

const handleTick = (step: LogStep): void => {
  const { state, now } = step;
  if (state.role === 'leader') {
    if (now >= state.nextHeartbeatAt) resendAppends(step);
    return;
  }
  if (now >= state.electionAt) startPreVote(step);
};

type Handlers = { [Kind in LogEvent['kind']]: (
  step: LogStep, event: Extract<LogEvent, { kind: Kind }>,
) => void };

const eventHandlers: Handlers = {
  tick: (step) => handleTick(step),
  message: (step, event) => handleMessage(step, event.message),
  propose: (step, event) => handlePropose(step, event.command),
  suspended: (step) => resetLeaderLease(step),
  confirm: (step) => {
    if (step.state.role === 'leader') broadcastAppend(step);
  },
  changeReplicas: (step, event) => handleChangeReplicas(step, event.replicas),
  synced: (step, event) => handleSynced(step, event.index, event.term),
  snapshotTaken: (step, event) => handleSnapshotTaken(step, event.index, event.data),
};

/**
 * Handles one event of a replica and returns the resulting effects in order.
 *
 * @example
 * const effects = handleLogEvent(state, { kind: 'tick' }, clock.now());
 */
export const handleLogEvent = (state: LogState, event: LogEvent, now: number): LogEffect[] => {
  const step: LogStep = { state, now, effects: [] };
  const handler = eventHandlers[event.kind] as (step: LogStep, event: LogEvent) => void;
  handler(step, event);
  return step.effects;
};

/**
 * Whether this replica is the leader, has committed an entry of its own term, and no other replica
 * can be leader at this time. A read of its state then returns the newest accepted state.
 *
 * @example
 * if (!holdsLeaderLease(state, clock.now())) refuse('noQuorum');
 */
export const holdsLeaderLease = (state: LogState, now: number): boolean => state.role === 'leader'
  && findTerm(state, state.commitIndex) === state.term
  && now < state.leaseUntil;

/**
 * Whether a majority has acknowledged a round that this replica sent as leader. None of these
 * replicas had contact with a newer leader at that time, so the state committed here is at least as
 * new as the state accepted when the round was sent, regardless of any clock.
 *
 * @example
 * if (isRoundConfirmed(state, term, round)) return true;
 */
export const isRoundConfirmed = (state: LogState, term: number, round: number): boolean => {
  const ids = [...state.peers].filter(([, peer]) => peer.ackedRound >= round).map(([id]) => id);
  return state.role === 'leader'
    && state.term === term
    && findTerm(state, state.commitIndex) === term
    && hasMajority(state, [state.id, ...ids]);
};
