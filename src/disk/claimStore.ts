import { join } from 'node:path';
import { ClaimRecord } from '../protocol/generated/beechlift';
import type { FileSystem } from './fileSystem';
import { RecordFile } from './recordFile';

const MIN_COMPACTION_BYTES = 4_194_304;
/** Factor by which the file grows before it is compacted again. */
const COMPACTION_GROWTH = 4;

const encodeClaim = (record: ClaimRecord): string => (
  Buffer.from(ClaimRecord.encode(record).finish()).toString('base64')
);

const decodeClaim = (text: unknown): ClaimRecord => ClaimRecord.decode(
  Buffer.from(String(text), 'base64'),
);

/**
 * Stores a holder's claims on disk, so that its promises survive a restart.
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

  /** Size of the file, in bytes. */
  get size(): number {
    return this.file.size;
  }

  /** Reads all records, oldest first. */
  async load(): Promise<ClaimRecord[]> {
    const records = await this.file.open();
    return records.map(decodeClaim);
  }

  /** Appends a record; resolves once it is synced. */
  append(record: ClaimRecord): Promise<void> {
    return this.file.append([encodeClaim(record)]);
  }

  /** Whether most records of the file are outdated: their claims changed later or expired. */
  get needsCompaction(): boolean {
    return this.size > Math.max(MIN_COMPACTION_BYTES, this.compactedBytes * COMPACTION_GROWTH);
  }

  /** Rewrites the file with the current claims. */
  async compact(listRecords: () => readonly ClaimRecord[]): Promise<void> {
    await this.file.replace(() => listRecords().map(encodeClaim));
    this.compactedBytes = this.size;
  }

  /** Closes the file. */
  close(): Promise<void> {
    return this.file.close();
  }
}
