import { crc32 } from 'node:zlib';
import { dirname } from 'node:path';
import { BeechliftError } from '../errors/beechliftError';
import type { AppendFile, FileSystem } from './fileSystem';

const CHECKSUM_DIGITS = 8;
const NEWLINE = 0x0a;

/** Formats records that are written together, each given as JSON, as one line with a checksum. */
const formatBatch = (records: readonly string[]): string => {
  const text = `[${records.join(',')}]`;
  return `${crc32(text).toString(16).padStart(CHECKSUM_DIGITS, '0')} ${text}\n`;
};

/**
 * Parses the records of a line; undefined if its checksum does not match. A line written by an
 * earlier version holds a single record instead of a list.
 */
const parseLine = (line: string): unknown[] | undefined => {
  const text = line.slice(CHECKSUM_DIGITS + 1);
  const checksum = crc32(text).toString(16).padStart(CHECKSUM_DIGITS, '0');
  return line.slice(0, CHECKSUM_DIGITS) === checksum
    ? [JSON.parse(text) as unknown].flat()
    : undefined;
};

/** Records of a file, and the number of its bytes that are valid. */
interface ParsedContent {
  readonly records: unknown[];
  readonly validBytes: number;
}

const splitLines = (content: Buffer): string[] => {
  const lines = content.toString().split('\n');
  return lines.at(-1) === '' ? lines.slice(0, -1) : lines;
};

/*
 * After a crash any part of the last batch may be missing or garbled. Its records were not yet
 * acknowledged, because that waits for the sync, so the batch is discarded. A batch is one line, so
 * an invalid line before a valid one is not a torn write but corruption of acknowledged records:
 * opening such a file fails.
 */
const parseContent = (path: string, content: Buffer): ParsedContent => {
  const lines = splitLines(content).map((line) => ({ line, records: parseLine(line) }));
  const firstInvalid = lines.findIndex(({ records }) => records === undefined);
  if (firstInvalid < 0) {
    return {
      records: lines.flatMap(({ records }) => records ?? []), validBytes: content.length,
    };
  }
  const isFollowedByValid = lines.slice(firstInvalid).some(({ records }) => records !== undefined);
  if (isFollowedByValid) {
    throw new BeechliftError('logCorrupt', `line ${firstInvalid + 1} of "${path}" does not match its checksum, but valid lines follow it`);
  }
  const validLines = lines.slice(0, firstInvalid);
  return {
    records: validLines.flatMap(({ records }) => records ?? []),
    validBytes: validLines.reduce((sum, { line }) => sum + Buffer.byteLength(line) + 1, 0),
  };
};

const toStorageError = (path: string, cause: unknown): BeechliftError => (
  new BeechliftError('storageFailed', `cannot write "${path}": ${(cause as Error).message}`, { cause })
);

/**
 * A file of checksummed lines, one for all records that are written together. Appends during a sync
 * share the next one.
 *
 * @example
 * const file = new RecordFile(nodeFileSystem, 'data/log');
 * const records = await file.open();
 * await file.append([{ kind: 'entry' }]);
 */
export class RecordFile {
  private file: AppendFile | undefined;

  /** Records to be written, each as JSON. */
  private pending: string[] = [];

  private queue: Promise<void> = Promise.resolve();

  private failure: BeechliftError | undefined;

  private bytesWritten = 0;

  constructor(private readonly files: FileSystem, private readonly path: string) {}

  /** Size of the file, in bytes. */
  get size(): number {
    return this.bytesWritten;
  }

  /** Reads all records, discards a torn last batch, and opens the file for appending. */
  async open(): Promise<unknown[]> {
    await this.files.makeFolder(dirname(this.path));
    const content = await this.files.readFile(this.path) ?? Buffer.alloc(0);
    const { records, validBytes } = parseContent(this.path, content);
    this.file = await this.files.openAppend(this.path);
    if (validBytes < content.length) {
      await this.file.truncate(validBytes);
    } else if (content.length > 0 && content.at(-1) !== NEWLINE) {
      // The last record is complete, only its newline is missing.
      await this.file.append(Buffer.from('\n'));
    }
    // A process killed during a sync leaves records that can be read but may not be on the disk.
    if (content.length > 0) await this.file.sync();
    await this.files.syncFolder(dirname(this.path));
    this.bytesWritten = validBytes;
    return records;
  }

  /** Appends records; resolves once they are synced. */
  append(records: readonly unknown[]): Promise<void> {
    this.pending.push(...records.map((record) => JSON.stringify(record)));
    return this.enqueue(() => this.flush());
  }

  /**
   * Replaces all records; a crash leaves either the old or the new ones.
   *
   * The new content is written and synced under another name, then renamed, then the folder is
   * synced. The records are listed when the rewrite begins, so that those appended until then are
   * included.
   */
  replace(listRecords: () => readonly unknown[]): Promise<void> {
    return this.enqueue(() => {
      const lines = listRecords().map((record) => formatBatch([JSON.stringify(record)]));
      return this.rewrite(Buffer.from(lines.join('')));
    });
  }

  /** Waits for pending writes and closes the file. */
  async close(): Promise<void> {
    await this.queue;
    await this.file?.close();
    this.file = undefined;
  }

  /*
   * Runs a write after the previous ones. Once a write has failed, all later ones fail as well:
   * otherwise a caller whose records were in the failed batch would find nothing left to write, and
   * its append would seem to succeed.
   */
  private enqueue(task: () => Promise<void>): Promise<void> {
    const result = this.queue.then(async () => {
      if (this.failure) throw this.failure;
      try {
        await task();
      } catch (cause) {
        this.failure = toStorageError(this.path, cause);
        throw this.failure;
      }
    });
    this.queue = result.catch(() => undefined);
    return result;
  }

  private async flush(): Promise<void> {
    if (this.pending.length === 0) return;
    const bytes = Buffer.from(formatBatch(this.pending));
    this.pending = [];
    if (!this.file) throw new Error('the file is not open');
    await this.file.append(bytes);
    await this.file.sync();
    this.bytesWritten += bytes.length;
  }

  private async rewrite(bytes: Buffer): Promise<void> {
    const newPath = `${this.path}.new`;
    await this.files.remove(newPath);
    const file = await this.files.openAppend(newPath);
    await file.append(bytes);
    await file.sync();
    await this.files.rename(newPath, this.path);
    await this.files.syncFolder(dirname(this.path));
    await this.file?.close();
    this.file = file;
    this.bytesWritten = bytes.length;
  }
}
