import type { AppendFile, FileSystem } from '../../src/disk/fileSystem';

/** State of an unsynced write after a power loss. */
export type UnsyncedWriteState = 'present' | 'missing' | 'torn';

interface FileContent {
  synced: Buffer;
  /** Writes since the last sync, in order. */
  writes: Buffer[];
}

/** Most bytes that one system call writes. */
const MAX_WRITE_BYTES = 524_288;

const splitWrite = (bytes: Buffer): Buffer[] => Array.from(
  { length: Math.ceil(bytes.length / MAX_WRITE_BYTES) },
  (unused, part) => bytes.subarray(part * MAX_WRITE_BYTES, (part + 1) * MAX_WRITE_BYTES),
);

const readAll = ({ synced, writes }: FileContent): Buffer => Buffer.concat([synced, ...writes]);

const applyWriteState = (bytes: Buffer, state: UnsyncedWriteState): Buffer => {
  const builders: Record<UnsyncedWriteState, () => Buffer> = {
    present: () => bytes,
    missing: () => Buffer.alloc(bytes.length),
    torn: () => Buffer.concat([
      bytes.subarray(0, bytes.length / 2), Buffer.alloc(Math.ceil(bytes.length / 2)),
    ]),
  };
  return builders[state]();
};

/**
 * A file system in memory whose syncs end when the test calls `finishSyncs`. After a power loss,
 * each unsynced write is present, missing or torn, independently of the writes before it. Each name
 * refers to the file of the last folder sync, or to its latest file.
 */
export class PowerLossFileSystem implements FileSystem {
  private names = new Map<string, FileContent>();

  private durableNames = new Map<string, FileContent>();

  private pendingSyncs: (() => void)[] = [];

  /** Whether syncs end at once, without `finishSyncs`. */
  isSyncImmediate = false;

  /** Whether a sync is in progress. */
  get isSyncing(): boolean {
    return this.pendingSyncs.length > 0;
  }

  readonly makeFolder = async (): Promise<void> => undefined;

  readonly readFile = async (path: string): Promise<Buffer | undefined> => {
    const file = this.names.get(path);
    return file && readAll(file);
  };

  readonly openAppend = async (path: string): Promise<AppendFile> => {
    const file = this.names.get(path) ?? { synced: Buffer.alloc(0), writes: [] };
    this.names.set(path, file);
    return {
      append: async (bytes) => {
        file.writes.push(...splitWrite(bytes));
      },
      sync: () => this.sync(() => {
        file.synced = readAll(file);
        file.writes = [];
        // The first sync of a new file also makes its name durable.
        if (!this.durableNames.has(path)) this.durableNames.set(path, file);
      }),
      truncate: async (length) => {
        file.synced = readAll(file).subarray(0, length);
        file.writes = [];
      },
      close: async () => undefined,
    };
  };

  readonly rename = async (from: string, to: string): Promise<void> => {
    const file = this.names.get(from);
    if (file) this.names.set(to, file);
    this.names.delete(from);
  };

  readonly remove = async (path: string): Promise<void> => {
    this.names.delete(path);
  };

  readonly syncFolder = (): Promise<void> => this.sync(() => {
    this.durableNames = new Map(this.names);
  });

  /** Ends the syncs that are in progress. */
  finishSyncs(): void {
    this.pendingSyncs.splice(0).forEach((finish) => finish());
  }

  /** Simulates the end of the process: pending syncs never end, and written data stays. */
  kill(): void {
    this.pendingSyncs = [];
  }

  /** Simulates a power loss. */
  cutPower(drawWriteState: () => UnsyncedWriteState): void {
    this.kill();
    const paths = [...new Set([...this.names.keys(), ...this.durableNames.keys()])];
    const remaining = paths.flatMap((path): [string, FileContent][] => {
      const keepsLatest = drawWriteState() === 'present';
      const file = (keepsLatest ? this.names : this.durableNames).get(path);
      if (!file) return [];
      const writes = file.writes.map((bytes) => applyWriteState(bytes, drawWriteState()));
      return [[path, { synced: Buffer.concat([file.synced, ...writes]), writes: [] }]];
    });
    this.names = new Map(remaining);
    this.durableNames = new Map(remaining);
  }

  private sync(finish: () => void): Promise<void> {
    if (this.isSyncImmediate) {
      finish();
      return Promise.resolve();
    }
    return new Promise((resolve) => {
      this.pendingSyncs.push(() => {
        finish();
        resolve();
      });
    });
  }
}
