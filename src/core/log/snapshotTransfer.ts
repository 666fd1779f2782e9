import type { LogMessage } from '../../protocol/generated/beechlift';
import { handleAppendReply } from './replication';
import { continueSnapshot } from './snapshotSender';
import {
  addEffect, findReplicas, followLeader, findTerm, readHardState, readLastIndex, sendMessage,
} from './logState';
import type {
  LogState, LogStep, Snapshot,
} from './logTypes';

const collectChunk = (state: LogState, message: LogMessage): void => {
  const { incoming } = state;
  const same = incoming?.index === message.lastIndex && incoming.term === message.lastTerm;
  if (message.offset === 0 || !same) {
    state.incoming = {
      index: message.lastIndex, term: message.lastTerm, pieces: [], bytes: 0,
    };
  }
  const target = state.incoming;
  if (!target || target.bytes !== message.offset) return;
  target.pieces.push(Buffer.from(message.chunk));
  target.bytes += message.chunk.length;
};

const installSnapshot = (step: LogStep, message: LogMessage): void => {
  const { state } = step;
  const pieces = state.incoming?.pieces ?? [];
  state.incoming = undefined;
  if (message.lastIndex <= state.commitIndex) return;
  const { replicas, data } = JSON.parse(
    Buffer.concat(pieces).toString(),
  ) as Pick<Snapshot, 'replicas' | 'data'>;
  const keepsTail = findTerm(state, message.lastIndex) === message.lastTerm;
  const tail = keepsTail ? state.entries.filter(({ index }) => index > message.lastIndex) : [];
  state.snapshot = {
    index: message.lastIndex, term: message.lastTerm, replicas, data,
  };
  state.entries = tail;
  state.replicas = findReplicas(state);
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

/** Receives a chunk; the last one replaces the own log up to the snapshot. */
export const handleSnapshot = (step: LogStep, message: LogMessage): void => {
  const { state } = step;
  if (message.term < state.term) {
    sendMessage(step, 'appendReply', message.from, { granted: false, round: 0 });
    return;
  }
  followLeader(step, message);
  collectChunk(state, message);
  const received = state.incoming?.bytes ?? 0;
  const whole = message.done && received === message.offset + message.chunk.length;
  if (whole) installSnapshot(step, message);
  sendMessage(step, 'snapshotReply', message.from, {
    offset: received, done: whole, matchIndex: message.lastIndex, round: message.round,
  });
};

/** Sends the next chunk, or goes on with entries after the last. */
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
  // A chunk of an older snapshot: the transfer starts again with the newest one.
  progress.snapshotOffset = message.matchIndex === state.snapshot.index ? message.offset : 0;
  continueSnapshot(step, message.from, progress);
};

/** Replaces applied entries by a snapshot that the state machine gave. */
export const handleSnapshotTaken = (step: LogStep, index: number, data: string): void => {
  const { state } = step;
  const term = findTerm(state, index);
  if (term === undefined || index <= state.snapshot.index || index > state.appliedIndex) return;
  const covered = state.entries.filter((entry) => entry.index <= index);
  const replicas = findReplicas({ entries: covered, snapshot: state.snapshot });
  state.entries = state.entries.filter((entry) => entry.index > index);
  state.snapshot = {
    index, term, replicas, data,
  };
  addEffect(step, {
    kind: 'persistSnapshot', snapshot: state.snapshot, hardState: readHardState(state), entries: state.entries,
  });
};
