import type { LogMessage } from '../../protocol/generated/beechlift';
import { handleAppendReply } from './replication';
import { markAcknowledged } from './resendTimer';
import { sendSnapshotChunk } from './snapshotSender';
import {
  addEffect, findReplicaSet, followLeader, findTerm, readHardState, readLastIndex, sendMessage,
} from './logState';
import type {
  LogState, LogStep, Snapshot,
} from './logTypes';

const appendChunk = (state: LogState, message: LogMessage): void => {
  const { incomingSnapshot } = state;
  const isSameSnapshot = incomingSnapshot?.index === message.lastIndex
    && incomingSnapshot.term === message.lastTerm;
  if (message.offset === 0 || !isSameSnapshot) {
    state.incomingSnapshot = {
      index: message.lastIndex, term: message.lastTerm, chunks: [], bytes: 0,
    };
  }
  const incoming = state.incomingSnapshot;
  if (!incoming || incoming.bytes !== message.offset) return;
  incoming.chunks.push(Buffer.from(message.chunk));
  incoming.bytes += message.chunk.length;
};

const installSnapshot = (step: LogStep, message: LogMessage): void => {
  const { state } = step;
  const chunks = state.incomingSnapshot?.chunks ?? [];
  state.incomingSnapshot = undefined;
  if (message.lastIndex <= state.commitIndex) return;
  const { replicas, data } = JSON.parse(
    Buffer.concat(chunks).toString(),
  ) as Pick<Snapshot, 'replicas' | 'data'>;
  const hasMatchingEntry = findTerm(state, message.lastIndex) === message.lastTerm;
  const tail = hasMatchingEntry
    ? state.entries.filter(({ index }) => index > message.lastIndex)
    : [];
  state.snapshot = {
    index: message.lastIndex, term: message.lastTerm, replicas, data,
  };
  state.entries = tail;
  state.replicas = findReplicaSet(state);
  state.commitIndex = message.lastIndex;
  state.appliedIndex = message.lastIndex;
  state.syncedIndex = Math.max(
    state.snapshot.index,
    Math.min(state.syncedIndex, readLastIndex(state)),
  );
  addEffect(step, {
    kind: 'persistSnapshot', snapshot: state.snapshot, hardState: readHardState(state), entries: tail,
  });
  addEffect(step, { kind: 'restore', snapshot: state.snapshot });
};

/** Receives a chunk of a snapshot; the last chunk replaces the log up to the snapshot's index. */
export const handleSnapshot = (step: LogStep, message: LogMessage): void => {
  const { state } = step;
  if (message.term < state.term) {
    sendMessage(step, 'appendReply', message.from, { granted: false, round: 0 });
    return;
  }
  followLeader(step, message);
  appendChunk(state, message);
  const received = state.incomingSnapshot?.bytes ?? 0;
  const isComplete = message.done && received === message.offset + message.chunk.length;
  if (isComplete) installSnapshot(step, message);
  sendMessage(step, 'snapshotReply', message.from, {
    offset: received, done: isComplete, matchIndex: message.lastIndex, round: message.round,
  });
};

/** Sends the next chunk, or continues with log entries after the last chunk. */
export const handleSnapshotReply = (step: LogStep, message: LogMessage): void => {
  const { state } = step;
  if (state.role !== 'leader' || message.term !== state.term) return;
  const progress = state.peers.get(message.from);
  if (!progress) return;
  progress.ackedRound = Math.max(progress.ackedRound, message.round);
  if (message.done) {
    progress.snapshotOffset = -1;
    progress.nextIndex = message.matchIndex + 1;
    handleAppendReply(step, { ...message, granted: true });
    return;
  }
  if (progress.snapshotOffset < 0) return;
  // The reply belongs to an older snapshot: the transfer restarts with the newest one.
  const offset = message.matchIndex === state.snapshot.index ? message.offset : 0;
  // A chunk that was sent twice has two replies: only the first one is followed by a chunk.
  if (offset > 0 && offset === progress.snapshotOffset) return;
  progress.snapshotOffset = offset;
  markAcknowledged(progress.resend, step.now, false);
  sendSnapshotChunk(step, message.from, progress);
};

/** Replaces applied entries with a snapshot that the state machine provided. */
export const handleSnapshotTaken = (step: LogStep, index: number, data: string): void => {
  const { state } = step;
  const term = findTerm(state, index);
  if (term === undefined || index <= state.snapshot.index || index > state.appliedIndex) return;
  const covered = state.entries.filter((entry) => entry.index <= index);
  const replicas = findReplicaSet({ entries: covered, snapshot: state.snapshot });
  state.entries = state.entries.filter((entry) => entry.index > index);
  state.snapshot = {
    index, term, replicas, data,
  };
  addEffect(step, {
    kind: 'persistSnapshot', snapshot: state.snapshot, hardState: readHardState(state), entries: state.entries,
  });
};
