/** Sends log entries to the peers of a leader, and limits what is on its way to each of them. */
import type { LogEntry } from '../../protocol/generated/beechlift';
import { findTerm, readLastIndex, sendMessage } from './logState';
import type { LogState, LogStep, PeerProgress } from './logTypes';
import {
  isResendDue, makeResendTimer, markResent, markSent, resetResend,
} from './resendTimer';
import { canSendSnapshot, sendSnapshotChunk } from './snapshotSender';

const MAX_BATCH_ENTRIES = 256;
/**
 * Most bytes of entries on their way to a peer; a single entry may be larger. Each call that
 * carries them has a time limit, and heartbeats wait behind them on a slow connection.
 */
const MAX_OPEN_BYTES = 262_144;
/** Number of unacknowledged rounds above which a peer counts as unresponsive. */
const MAX_UNACKED_ROUNDS = 4;

const makeProgress = (state: LogState): PeerProgress => ({
  nextIndex: readLastIndex(state) + 1,
  matchIndex: 0,
  sentFrom: 0,
  sentIndex: 0,
  resend: makeResendTimer(),
  ackedRound: 0,
  snapshotOffset: -1,
  bytesSent: 0,
});

/** Finds the progress of a peer; creates it for a new one. */
export const findProgress = (state: LogState, id: string): PeerProgress => {
  const known = state.peers.get(id);
  if (known) return known;
  const progress = makeProgress(state);
  state.peers.set(id, progress);
  return progress;
};

/** Finds the first open entry; it lies beyond `sentIndex` if none is open. */
const findFirstOpen = ({ sentFrom, matchIndex }: PeerProgress): number => (
  Math.max(sentFrom, matchIndex + 1));

const hasOpenEntries = (progress: PeerProgress): boolean => (
  findFirstOpen(progress) <= progress.sentIndex);

/** Whether an entry was sent to the peer and may still arrive. */
const isOpen = (progress: PeerProgress, index: number): boolean => (
  index >= findFirstOpen(progress) && index <= progress.sentIndex);

/**
 * Whether the entry at an index is on its way to the peer, and is not to be sent again yet.
 *
 * @example
 * if (isOnItsWay(progress, index, now)) return; // a rejection that overtook the entry
 */
export const isOnItsWay = (progress: PeerProgress, index: number, now: number): boolean => (
  isOpen(progress, index) && !isResendDue(progress.resend, now));

/** Lists the entries from one index to another, without those that are compacted. */
const listEntries = (state: LogState, first: number, last: number): LogEntry[] => {
  const { index } = state.snapshot;
  return state.entries.slice(Math.max(0, first - index - 1), Math.max(0, last - index));
};

const countBytes = (entries: readonly LogEntry[]): number => entries.reduce(
  (bytes, { command }) => bytes + command.length,
  0,
);

const countOpenBytes = (state: LogState, progress: PeerProgress): number => (
  countBytes(listEntries(state, findFirstOpen(progress), progress.sentIndex)));

const pickBatch = (state: LogState, from: number, openBytes: number): LogEntry[] => {
  const entries = listEntries(state, from, from + MAX_BATCH_ENTRIES - 1);
  let bytes = openBytes;
  const end = entries.findIndex((entry) => {
    const isAlone = bytes === 0;
    bytes += entry.command.length;
    return !isAlone && bytes > MAX_OPEN_BYTES;
  });
  return end === -1 ? entries : entries.slice(0, end);
};

/*
 * Limits the traffic to a peer that is down: it receives empty appends until it acknowledges one.
 */
const isUnresponsive = (state: LogState, progress: PeerProgress): boolean => (
  state.round - progress.ackedRound > MAX_UNACKED_ROUNDS
);

const pickEntries = ({ state, now }: LogStep, progress: PeerProgress): LogEntry[] => {
  const { nextIndex } = progress;
  const isHeld = isOnItsWay(progress, nextIndex, now) || isUnresponsive(state, progress);
  if (isHeld) return [];
  const isNext = nextIndex === progress.sentIndex + 1;
  return pickBatch(state, nextIndex, isNext ? countOpenBytes(state, progress) : 0);
};

/** Records that entries from `nextIndex` on were sent; the next ones follow without a reply. */
const recordSent = (
  progress: PeerProgress,
  entries: readonly LogEntry[],
  now: number,
): void => {
  const { nextIndex, resend } = progress;
  if (isOpen(progress, nextIndex)) {
    markResent(resend, now);
  } else {
    if (nextIndex !== progress.sentIndex + 1) {
      progress.sentFrom = nextIndex;
      resetResend(resend);
    }
    markSent(resend, now);
  }
  progress.nextIndex += entries.length;
  progress.sentIndex = progress.nextIndex - 1;
  progress.bytesSent += countBytes(entries);
};

const sendAppend = (
  step: LogStep,
  id: string,
  previous: number,
  entries: readonly LogEntry[],
): void => {
  const { state } = step;
  sendMessage(step, 'append', id, {
    lastIndex: previous,
    lastTerm: findTerm(state, previous) ?? 0,
    commitIndex: state.commitIndex,
    entries: [...entries],
    round: state.round,
  });
};

/**
 * Sends a peer what it lacks, if anything may be sent now; returns whether it did.
 *
 * @example
 * const isSent = sendMissing(step, 'c2'); // false while all that it lacks is on its way
 */
export const sendMissing = (step: LogStep, id: string): boolean => {
  const { state, now } = step;
  const progress = findProgress(state, id);
  if (progress.nextIndex <= state.snapshot.index) {
    if (!canSendSnapshot(progress, now)) return false;
    sendSnapshotChunk(step, id, progress);
    return true;
  }
  const entries = pickEntries(step, progress);
  if (entries.length === 0) return false;
  sendAppend(step, id, progress.nextIndex - 1, entries);
  recordSent(progress, entries, now);
  return true;
};

/** Sends a peer what it lacks, or an empty append. */
export const sendRound = (step: LogStep, id: string): void => {
  if (sendMissing(step, id)) return;
  const { state } = step;
  const { nextIndex } = findProgress(state, id);
  sendAppend(step, id, Math.max(nextIndex - 1, state.snapshot.index), []);
};

/** Continues with the first open entry of a peer, if it may be sent again. */
export const restartFromOpen = (progress: PeerProgress, now: number): void => {
  if (hasOpenEntries(progress)) {
    if (isResendDue(progress.resend, now)) progress.nextIndex = findFirstOpen(progress);
  } else if (progress.matchIndex > 0) {
    progress.nextIndex = progress.matchIndex + 1;
  }
};
