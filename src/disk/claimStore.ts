import { join } from 'node:path';
import { ClaimRecord } from '../protocol/generated/beechlift';
import type { FileSystem } from './fileSystem';
import { RecordFile } from './recordFile';

const MIN_COMPACTION_BYTES = 4_194_304;
const COMPACTION_GROWTH = 4;

const encodeClaim = (record: ClaimRecord): string => (
  Buffer.from(ClaimRecord.encode(record).finish()).toString('base64')
);

const decodeClaim = (text: unknown): ClaimRecord => ClaimRecord.decode(
  Buffer.from(String(text), 'base64'),
);

/**
 * Keeps a holder's claims on disk, so that it never forgets what it promised.
 *
 * @example
 * const store = new ClaimStore(nodeFileSystem, 'data');
 * (await store.load()).forEach((record) => mergeClaim(table, record, now));
 */
export class ClaimStore {
  private readonly file: RecordFile;

  private compactedBytes = 0;

  constructor(files: FileSystem, folder: string) {
    this.file = new RecordFile(files, join(folder, 'claims.log'));
  }

  /** Bytes on disk. */
  get size(): number {
    return this.file.size;
  }

  /** Reads all records, oldest first. */
  async load(): Promise<ClaimRecord[]> {
    const records = await this.file.open();
    return records.map(decodeClaim);
  }

  /** Adds a record; resolves once it is synced. */
  append(record: ClaimRecord): Promise<void> {
    return this.file.append([encodeClaim(record)]);
  }

  /** Whether most of the file is about claims that changed since or expired. */
  get needsCompaction(): boolean {
    return this.size > Math.max(MIN_COMPACTION_BYTES, this.compactedBytes * COMPACTION_GROWTH);
  }

  /** Rewrites the file with the claims that are still kept. */
  async compact(listRecords: () => readonly ClaimRecord[]): Promise<void> {
    await this.file.replace(() => listRecords().map(encodeClaim));
    this.compactedBytes = this.size;
  }

  /** Closes the file. */
  close(): Promise<void> {
    return this.file.close();
  }
}
