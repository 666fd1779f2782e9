import type { LogEntry, LogMessage, Replica } from '../../protocol/generated/beechlift';
import {
  findProgress, isOnItsWay, restartFromOpen, sendMissing, sendRound,
} from './appendSender';
import { markAcknowledged } from './resendTimer';
import {
  addEffect, becomeFollower, findEntry, findReplicaSet, findTerm, followLeader, hasMajority,
  isChanging, isReplicaSetCommitted, isVoter, listPeers, persistState, readLastIndex,
  REPLICAS_COMMAND_PREFIX, sendMessage,
} from './logState';
import type {
  LogState, LogStep, PeerProgress, ReplicaSet,
} from './logTypes';

/** Number of recent rounds whose send times are stored. */
const MAX_ROUNDS_KEPT = 256;
/** Command that a new leader appends to commit the entries of earlier terms. */
export const NOOP_COMMAND = '';

const removeOldRounds = (state: LogState): void => {
  const oldest = state.round - MAX_ROUNDS_KEPT;
  [...state.roundSentAt.keys()]
    .filter((round) => round < oldest)
    .forEach((round) => state.roundSentAt.delete(round));
};

/*
 * Guards against two leaders that both grant configuration leases. The lease starts when the newest
 * round that a majority acknowledged was sent. Each of those replicas grants no vote for the
 * election timeout after it received that round, which is later than the send time.
 */
const renewLeaderLease = ({ state, now }: LogStep): void => {
  const acked = [...state.roundSentAt.keys()].findLast((round) => {
    const ids = [...state.peers].filter(([, peer]) => peer.ackedRound >= round).map(([id]) => id);
    return hasMajority(state, [state.id, ...ids]);
  });
  if (acked === undefined) return;
  const sentAt = state.roundSentAt.get(acked) ?? now;
  const until = sentAt + state.timings.electionTimeoutMs - state.timings.leaseMarginMs;
  state.leaseUntil = Math.max(state.leaseUntil, until);
};

/**
 * Ends the leader lease after a suspension.
 *
 * Guards against a leader that was suspended: its monotonic clock stopped meanwhile, so its lease
 * looks valid although another leader may have been elected. Rounds sent before the suspension no
 * longer count; the next round that a majority acknowledges renews the lease.
 */
export const resetLeaderLease = ({ state }: LogStep): void => {
  state.leaseUntil = 0;
  state.roundSentAt.clear();
};

/** Sends the missing entries to every peer, as a new round of the lease. */
export const broadcastAppend = (step: LogStep): void => {
  const { state, now } = step;
  state.round += 1;
  state.roundSentAt.set(state.round, now);
  removeOldRounds(state);
  state.nextHeartbeatAt = now + state.timings.heartbeatMs;
  listPeers(state).forEach((id) => sendRound(step, id));
  renewLeaderLease(step);
};

/** Sends a round, and again what may have been lost. */
export const resendAppends = (step: LogStep): void => {
  step.state.peers.forEach((progress) => restartFromOpen(progress, step.now));
  broadcastAppend(step);
};

const appendEntry = (step: LogStep, command: string): LogEntry => {
  const { state } = step;
  const entry: LogEntry = { index: readLastIndex(state) + 1, term: state.term, command };
  state.entries.push(entry);
  state.replicas = findReplicaSet(state);
  persistState(step, [entry]);
  return entry;
};

/** Becomes leader of the term and appends an empty entry that commits earlier terms' entries. */
export const startLeading = (step: LogStep): void => {
  const { state } = step;
  state.role = 'leader';
  state.leaderId = state.id;
  state.peers = new Map();
  state.roundSentAt = new Map();
  state.leaseUntil = 0;
  addEffect(step, { kind: 'roleChanged', role: 'leader', term: state.term });
  listPeers(state).forEach((id) => findProgress(state, id));
  appendEntry(step, NOOP_COMMAND);
  broadcastAppend(step);
};

/** Appends a command; does nothing unless this replica is the leader. */
export const handlePropose = (step: LogStep, command: string): void => {
  if (step.state.role !== 'leader') return;
  const entry = appendEntry(step, command);
  addEffect(step, { kind: 'proposed', index: entry.index, term: entry.term });
  broadcastAppend(step);
};

const countVoterChanges = (from: ReplicaSet, to: ReplicaSet): number => {
  const before = from.voters.map(({ id }) => id);
  const after = to.voters.map(({ id }) => id);
  return before.filter((id) => !after.includes(id)).length
    + after.filter((id) => !before.includes(id)).length;
};

const isSameSet = (some: readonly Replica[], others: readonly Replica[]): boolean => (
  some.length === others.length && some.every(({ id }) => others.some((other) => other.id === id))
);

/*
 * Any two majorities of the sets overlap if one voter at most differs. A larger change passes
 * through a set that needs a majority of the voters before it and of those after it.
 */
const hasOverlappingMajorities = (from: ReplicaSet, to: ReplicaSet): boolean => {
  if (isChanging(from)) return !isChanging(to) && isSameSet(from.voters, to.voters);
  if (isChanging(to)) return isSameSet(from.voters, to.previousVoters ?? []);
  return countVoterChanges(from, to) <= 1;
};

/*
 * Guards against two majorities that do not overlap: the previous change and an entry of this
 * leader's own term are committed before the next change.
 */
const canChangeReplicas = (state: LogState, replicas: ReplicaSet): boolean => {
  const ownTerm = findTerm(state, state.commitIndex) === state.term;
  return isReplicaSetCommitted(state) && ownTerm
    && hasOverlappingMajorities(state.replicas, replicas);
};

/**
 * Changes the replica set, unless another change is pending or a majority of the new set need not
 * overlap with one of the current set.
 */
export const handleChangeReplicas = (step: LogStep, replicas: ReplicaSet): void => {
  const { state } = step;
  if (state.role !== 'leader' || !canChangeReplicas(state, replicas)) return;
  handlePropose(step, `${REPLICAS_COMMAND_PREFIX}${JSON.stringify(replicas)}`);
};

/** Applies committed entries to the state machine in order. */
export const applyCommitted = (step: LogStep): void => {
  const { state } = step;
  const ready = state.entries.slice(
    state.appliedIndex - state.snapshot.index,
    state.commitIndex - state.snapshot.index,
  );
  ready.forEach((entry) => {
    state.appliedIndex = entry.index;
    addEffect(step, { kind: 'apply', entry });
  });
};

const isStoredByMajority = (state: LogState, index: number): boolean => {
  const peers = [...state.peers].filter(
    ([, { matchIndex }]) => matchIndex >= index,
  ).map(([id]) => id);
  const own = state.syncedIndex >= index ? [state.id] : [];
  return hasMajority(state, [...own, ...peers]);
};

/*
 * Guards against committing an entry of an older term by counting replicas, because a later leader
 * could still replace it. Only an entry of the current term is committed by count; all entries
 * before it are committed with it.
 */
const advanceCommit = (step: LogStep): void => {
  const { state } = step;
  const newest = state.entries.findLast(({ index, term }) => (
    index > state.commitIndex && term === state.term && isStoredByMajority(state, index)));
  if (!newest) return;
  state.commitIndex = newest.index;
  applyCommitted(step);
  if (!isVoter(state, state.id)) becomeFollower(step, state.term, '');
};

/** Handles a completed disk sync of all entries up to an index. */
export const handleSynced = (step: LogStep, index: number, term: number): void => {
  const { state } = step;
  if (findTerm(state, index) !== term) return;
  state.syncedIndex = Math.max(state.syncedIndex, index);
  if (state.role === 'leader') advanceCommit(step);
};

/** Removes all entries from an index on, because a newer leader replaces them. */
const truncateFrom = (state: LogState, index: number): void => {
  state.entries = state.entries.slice(0, index - state.snapshot.index - 1);
  state.syncedIndex = Math.min(state.syncedIndex, index - 1);
};

const storeEntries = (step: LogStep, entries: readonly LogEntry[]): void => {
  const { state } = step;
  const fresh = entries.filter((entry) => entry.index > state.snapshot.index
    && findEntry(state, entry.index)?.term !== entry.term);
  const [first] = fresh;
  if (!first) return;
  truncateFrom(state, first.index);
  const added = entries.filter(({ index }) => index >= first.index);
  state.entries.push(...added);
  state.replicas = findReplicaSet(state);
  persistState(step, added);
};

const rejectAppend = (step: LogStep, message: LogMessage): void => {
  const hint = Math.min(readLastIndex(step.state), message.lastIndex - 1);
  sendMessage(step, 'appendReply', message.from, {
    granted: false, matchIndex: Math.max(hint, step.state.snapshot.index), round: message.round,
  });
};

/** Stores entries of the leader; the reply is sent after they are synced. */
export const handleAppend = (step: LogStep, message: LogMessage): void => {
  const { state } = step;
  if (message.term < state.term) {
    sendMessage(step, 'appendReply', message.from, { granted: false, round: 0 });
    return;
  }
  followLeader(step, message);
  const compacted = message.lastIndex < state.snapshot.index;
  if (!compacted && findTerm(state, message.lastIndex) !== message.lastTerm) {
    rejectAppend(step, message);
    return;
  }
  storeEntries(step, message.entries);
  const matchIndex = message.lastIndex + message.entries.length;
  state.commitIndex = Math.max(state.commitIndex, Math.min(message.commitIndex, matchIndex));
  applyCommitted(step);
  sendMessage(step, 'appendReply', message.from, {
    granted: true, matchIndex, round: message.round,
  });
};

const updateMatchIndex = (
  step: LogStep,
  id: string,
  progress: PeerProgress,
  matchIndex: number,
): void => {
  const { state } = step;
  if (matchIndex > progress.matchIndex) {
    progress.matchIndex = matchIndex;
    markAcknowledged(progress.resend, step.now, progress.sentIndex > matchIndex);
  }
  progress.nextIndex = Math.max(progress.nextIndex, progress.matchIndex + 1);
  advanceCommit(step);
  if (state.role === 'leader') sendMissing(step, id);
};

/** Handles the reply of a peer: advances its progress, or steps back after a rejection. */
export const handleAppendReply = (step: LogStep, message: LogMessage): void => {
  const { state } = step;
  if (message.term > state.term) {
    becomeFollower(step, message.term, '');
    return;
  }
  if (state.role !== 'leader' || message.term !== state.term) return;
  const progress = findProgress(state, message.from);
  progress.ackedRound = Math.max(progress.ackedRound, message.round);
  renewLeaderLease(step);
  if (message.granted) {
    updateMatchIndex(step, message.from, progress, message.matchIndex);
    return;
  }
  const missingIndex = Math.max(
    progress.matchIndex,
    Math.min(progress.nextIndex - 1, message.matchIndex),
  ) + 1;
  // A heartbeat may overtake entries: the peer rejects it and lacks nothing.
  if (isOnItsWay(progress, missingIndex, step.now)) return;
  progress.nextIndex = missingIndex;
  sendMissing(step, message.from);
};
