import { sendMessage } from './logState';
import type { LogStep, PeerProgress, Snapshot } from './logTypes';
import {
  isResendDue, markResent, markSent, resetResend,
} from './resendTimer';

/** Maximum bytes of a snapshot in one message. */
export const SNAPSHOT_CHUNK_BYTES = 262_144;

const encodeSnapshot = ({ replicas, data }: Snapshot): Buffer => (
  Buffer.from(JSON.stringify({ replicas, data }))
);

const isTransferring = ({ snapshotOffset }: PeerProgress): boolean => snapshotOffset >= 0;

/** Whether a chunk may be sent: the first one, or the open one again. */
export const canSendSnapshot = (progress: PeerProgress, now: number): boolean => (
  !isTransferring(progress) || isResendDue(progress.resend, now));

const beginTransfer = (progress: PeerProgress): void => {
  progress.snapshotOffset = 0;
  progress.sentFrom = 0;
  progress.sentIndex = 0;
  resetResend(progress.resend);
};

/** Sends the next chunk of the snapshot to a peer that needs compacted entries. */
export const sendSnapshotChunk = (step: LogStep, id: string, progress: PeerProgress): void => {
  const { now, state: { snapshot, round } } = step;
  if (!isTransferring(progress)) beginTransfer(progress);
  const bytes = encodeSnapshot(snapshot);
  const end = progress.snapshotOffset + SNAPSHOT_CHUNK_BYTES;
  const chunk = bytes.subarray(progress.snapshotOffset, end);
  if (isResendDue(progress.resend, now)) markResent(progress.resend, now);
  else markSent(progress.resend, now);
  progress.bytesSent += chunk.length;
  sendMessage(step, 'snapshot', id, {
    lastIndex: snapshot.index,
    lastTerm: snapshot.term,
    offset: progress.snapshotOffset,
    chunk,
    done: end >= bytes.length,
    round,
  });
};
