import { crc32 } from 'node:zlib';
import { dirname } from 'node:path';
import { BeechliftError } from '../errors/beechliftError';
import type { AppendFile, FileSystem } from './fileSystem';

const CHECKSUM_DIGITS = 8;
const NEWLINE = 0x0a;

/** One line for records that are written together, each of them as JSON. */
const formatBatch = (records: readonly string[]): string => {
  const text = `[${records.join(',')}]`;
  return `${crc32(text).toString(16).padStart(CHECKSUM_DIGITS, '0')} ${text}\n`;
};

/** Records of a line; one that an earlier version wrote holds a single record, and no list. */
const parseLine = (line: string): unknown[] | undefined => {
  const text = line.slice(CHECKSUM_DIGITS + 1);
  const checksum = crc32(text).toString(16).padStart(CHECKSUM_DIGITS, '0');
  return line.slice(0, CHECKSUM_DIGITS) === checksum ? [JSON.parse(text) as unknown].flat() : undefined;
};

/** What a file held: its records, and how many bytes of it are sound. */
interface ParsedContent {
  readonly records: unknown[];
  readonly validBytes: number;
}

const splitLines = (content: Buffer): string[] => {
  const lines = content.toString().split('\n');
  return lines.at(-1) === '' ? lines.slice(0, -1) : lines;
};

/*
 * Guards against a torn write: a crash may leave any part of the last batch missing or mixed up.
 * Nothing there was answered yet, as answers wait for the sync, so it is cut off. All of a batch is
 * one line, so a bad line with a sound one after it is no torn write but damage to what was
 * answered, and is refused.
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
    throw new BeechliftError('logCorrupt', `line ${firstInvalid + 1} of "${path}" does not match its checksum, and sound lines follow it`);
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
 * A file of checksummed lines, one for all records that are written together. Writers that come
 * while a sync is under way share the next one.
 *
 * @example
 * const file = new RecordFile(nodeFileSystem, 'data/log');
 * const records = await file.open();
 * await file.append([{ kind: 'entry' }]);
 */
export class RecordFile {
  private file: AppendFile | undefined;

  /** Records that wait to be written, each as JSON. */
  private pending: string[] = [];

  private queue: Promise<void> = Promise.resolve();

  private failure: BeechliftError | undefined;

  private bytesWritten = 0;

  constructor(private readonly files: FileSystem, private readonly path: string) {}

  /** Bytes in the file. */
  get size(): number {
    return this.bytesWritten;
  }

  /** Reads what the file holds, cuts a torn end off, and opens it for appending. */
  async open(): Promise<unknown[]> {
    await this.files.makeFolder(dirname(this.path));
    const content = await this.files.readFile(this.path) ?? Buffer.alloc(0);
    const { records, validBytes: validBytes } = parseContent(this.path, content);
    this.file = await this.files.openAppend(this.path);
    if (validBytes < content.length) {
      await this.file.truncate(validBytes);
    } else if (content.length > 0 && content.at(-1) !== NEWLINE) {
      // The last record is whole but its line end was torn off.
      await this.file.append(Buffer.from('\n'));
    }
    // A process that was killed in the middle of a sync leaves records that are not on the disk.
    if (content.length > 0) await this.file.sync();
    await this.files.syncFolder(dirname(this.path));
    this.bytesWritten = validBytes;
    return records;
  }

  /** Adds records; resolves once they are synced. */
  append(records: readonly unknown[]): Promise<void> {
    this.pending.push(...records.map((record) => JSON.stringify(record)));
    return this.enqueue(() => this.flush());
  }

  /*
   * Guards against a crash in the middle of a rewrite: the new content is whole and synced under
   * another name before it takes the place of the old, and the folder is synced after. The records
   * are listed when the rewrite begins, so that nothing which was appended in the meantime is left
   * out.
   */
  replace(listRecords: () => readonly unknown[]): Promise<void> {
    return this.enqueue(() => {
      const lines = listRecords().map((record) => formatBatch([JSON.stringify(record)]));
      return this.rewrite(Buffer.from(lines.join('')));
    });
  }

  /** Waits for what is being written and closes the file. */
  async close(): Promise<void> {
    await this.queue;
    await this.file?.close();
    this.file = undefined;
  }

  /*
   * Guards against a write that failed for one caller and looks done to the next, whose records
   * were in the same batch: after a failure nothing more is written and everyone hears of it.
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
