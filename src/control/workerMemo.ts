import { join } from 'node:path';
import type { FileSystem } from '../disk/fileSystem';
import { RecordFile } from '../disk/recordFile';
import { WorkerRecord } from '../protocol/generated/beechlift';
import type { Logger } from '../telemetry/logger';

/** Shortest time between two writes, in milliseconds: what changes meanwhile goes into one. */
const WRITE_MS = 500;

/**
 * Remembers the backend servers over a restart. They are heard again anyway, one announcement
 * later; until then a site whose processes were all killed at once would have nowhere to send
 * requests. What is remembered may be old: requests name the server that they are meant for, and
 * any other one at its address refuses them.
 *
 * @example
 * const records = await memo.load();
 * memo.note(revision, () => listRecords());
 */
export class WorkerMemo {
  private readonly file: RecordFile;

  private writtenRevision = -1;

  private writtenAt = -Infinity;

  private isWriting = false;

  constructor(files: FileSystem, folder: string, private readonly logger: Logger) {
    this.file = new RecordFile(files, join(folder, 'workers.log'));
  }

  /** What was remembered; nothing when that cannot be read, as nothing depends on it. */
  async load(): Promise<WorkerRecord[]> {
    try {
      // What an earlier version wrote may lack fields.
      return (await this.file.open()).map((record) => (
        WorkerRecord.fromPartial(record as Partial<WorkerRecord>)));
    } catch (error) {
      this.logger.warn('remembered backend servers cannot be read', { reason: (error as Error).message });
      return [];
    }
  }

  /** Writes what changed, when the last write is long enough ago and done. */
  note(revision: number, now: number, listRecords: () => WorkerRecord[]): void {
    const isDue = revision !== this.writtenRevision && now - this.writtenAt >= WRITE_MS;
    if (!isDue || this.isWriting) return;
    this.writtenRevision = revision;
    this.writtenAt = now;
    this.isWriting = true;
    this.file.replace(listRecords)
      .catch((error: unknown) => this.logger.warn('backend servers cannot be remembered', { reason: (error as Error).message }))
      .finally(() => {
        this.isWriting = false;
      });
  }

  /** Closes the file. */
  close(): Promise<void> {
    return this.file.close();
  }
}
