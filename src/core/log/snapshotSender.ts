import { sendMessage } from './logState';
import type { LogStep, PeerProgress, Snapshot } from './logTypes';

/** Maximum bytes of a snapshot in one message. */
export const SNAPSHOT_CHUNK_BYTES = 262_144;

const encodeSnapshot = ({ replicas, data }: Snapshot): Buffer => (
  Buffer.from(JSON.stringify({ replicas, data }))
);

/** Sends the next chunk of the snapshot to a peer that needs compacted entries. */
export const sendSnapshotChunk = (step: LogStep, id: string, progress: PeerProgress): void => {
  const { snapshot, round } = step.state;
  if (progress.snapshotOffset < 0) progress.snapshotOffset = 0;
  const bytes = encodeSnapshot(snapshot);
  const end = progress.snapshotOffset + SNAPSHOT_CHUNK_BYTES;
  const chunk = bytes.subarray(progress.snapshotOffset, end);
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
