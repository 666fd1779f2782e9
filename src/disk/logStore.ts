import { join } from 'node:path';
import type { LogEntry } from '../protocol/generated/beechlift';
import type { HardState, Snapshot, StoredLog } from '../core/log/logTypes';
import type { FileSystem } from './fileSystem';
import { RecordFile } from './recordFile';

type LogRecord = | { readonly kind: 'state'; readonly hardState: HardState; readonly entries: readonly LogEntry[] }
  | { readonly kind: 'snapshot'; readonly snapshot: Snapshot };

/** A change of the log to be written to disk. */
export interface LogAppend {
  readonly hardState: HardState;
  readonly entries: readonly LogEntry[];
}

interface ReplayedLog { hardState: HardState; snapshot: Snapshot; entries: LogEntry[] }

const applyEntries = (log: ReplayedLog, entries: readonly LogEntry[]): LogEntry[] => {
  const [first] = entries;
  if (!first) return log.entries;
  // New entries replace all stored ones from their index on.
  return [...log.entries.filter(({ index }) => index < first.index), ...entries];
};

const applyRecord = (log: ReplayedLog, record: LogRecord): ReplayedLog => {
  if (record.kind === 'snapshot') {
    const entries = log.entries.filter(({ index }) => index > record.snapshot.index);
    return { ...log, snapshot: record.snapshot, entries };
  }
  return { ...log, hardState: record.hardState, entries: applyEntries(log, record.entries) };
};

/**
 * Stores a replica's log on disk.
 *
 * @example
 * const store = new LogStore(nodeFileSystem, 'data');
 * const stored = await store.load(makeEmptyLog(replicas));
 */
export class LogStore {
  private readonly file: RecordFile;

  constructor(files: FileSystem, folder: string) {
    this.file = new RecordFile(files, join(folder, 'manifest.log'));
  }

  /** Size of the file, in bytes. */
  get size(): number {
    return this.file.size;
  }

  /** Reads the log; if there is none, writes and returns the empty log of a new site. */
  async load(empty: StoredLog): Promise<StoredLog> {
    const records = await this.file.open() as LogRecord[];
    if (records.length === 0) {
      await this.replace(empty.snapshot, empty.hardState, empty.entries);
      return empty;
    }
    return records.reduce(applyRecord, { ...empty, entries: [...empty.entries] });
  }

  /** Appends changes in order; resolves once they are synced. */
  append(appends: readonly LogAppend[]): Promise<void> {
    return this.file.append(appends.map((append): LogRecord => ({ kind: 'state', ...append })));
  }

  /** Replaces the whole file with a snapshot and the entries after it. */
  replace(snapshot: Snapshot, hardState: HardState, entries: readonly LogEntry[]): Promise<void> {
    const records: LogRecord[] = [
      { kind: 'snapshot', snapshot },
      { kind: 'state', hardState, entries },
    ];
    return this.file.replace(() => records);
  }

  /** Closes the file. */
  close(): Promise<void> {
    return this.file.close();
  }
}
