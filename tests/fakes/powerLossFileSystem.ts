import type { AppendFile, FileSystem } from '../../src/disk/fileSystem';

/** What a power loss leaves of a write that was not synced. */
export type UnsyncedWriteState = 'present' | 'missing' | 'torn';

interface FileContent {
  synced: Buffer;
  /** Writes since the last sync, in order. */
  writes: Buffer[];
}

/** Bytes that one system call writes of a longer buffer. */
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
 * A disk whose syncs last until the test lets them end. A power loss leaves each write that was not
 * synced present, missing or torn, whatever became of the writes before it, and each name as it was
 * when its folder was last synced or as it is.
 */
export class PowerLossFileSystem implements FileSystem {
  private names = new Map<string, FileContent>();

  private durableNames = new Map<string, FileContent>();

  private pendingSyncs: (() => void)[] = [];

  /** Whether syncs end by themselves. */
  isSyncImmediate = false;

  /** Whether a sync is under way. */
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
        // A new file lasts with its own sync.
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

  /** Lets the syncs end that are under way. */
  finishSyncs(): void {
    this.pendingSyncs.splice(0).forEach((finish) => finish());
  }

  /** The process is gone, with its calls that are under way; files stay as they were written. */
  kill(): void {
    this.pendingSyncs = [];
  }

  /** The machine loses power. */
  cutPower(drawWriteState: () => UnsyncedWriteState): void {
    this.kill();
    const paths = [...new Set([...this.names.keys(), ...this.durableNames.keys()])];
    const kept = paths.flatMap((path): [string, FileContent][] => {
      const isNew = drawWriteState() === 'present';
      const file = (isNew ? this.names : this.durableNames).get(path);
      if (!file) return [];
      const writes = file.writes.map((bytes) => applyWriteState(bytes, drawWriteState()));
      return [[path, { synced: Buffer.concat([file.synced, ...writes]), writes: [] }]];
    });
    this.names = new Map(kept);
    this.durableNames = new Map(kept);
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
