import type { AppendFile, FileSystem } from '../../src/disk/fileSystem';

interface MemoryFile {
  written: Buffer;
  synced: Buffer;
}

/** Where an operation of this file system fails, or a write is torn. */
export type FailurePoint = | 'beforeAppend' | 'tornAppend' | 'beforeSync' | 'afterSync' | 'beforeRename' | 'afterRename';

/** A file system in memory. After a power loss only synced data is left; it can also be full. */
export class MemoryFileSystem implements FileSystem {
  failAt: FailurePoint | undefined;

  isFull = false;

  /** Awaited before each sync; a test may replace it to delay syncs. */
  waitForSync: () => Promise<void> = async () => undefined;

  private readonly files = new Map<string, MemoryFile>();

  private readonly durableNames = new Map<string, MemoryFile>();

  readonly makeFolder = async (): Promise<void> => undefined;

  readonly readFile = async (path: string): Promise<Buffer | undefined> => (
    this.files.get(path)?.written
  );

  readonly openAppend = async (path: string): Promise<AppendFile> => {
    const file = this.files.get(path) ?? { written: Buffer.alloc(0), synced: Buffer.alloc(0) };
    this.files.set(path, file);
    return {
      append: async (bytes) => this.append(file, bytes),
      sync: async () => {
        await this.waitForSync();
        this.sync(file);
      },
      truncate: async (length) => {
        file.written = file.written.subarray(0, length);
      },
      close: async () => undefined,
    };
  };

  readonly rename = async (from: string, to: string): Promise<void> => {
    this.failIf('beforeRename');
    const file = this.files.get(from);
    if (file) this.files.set(to, file);
    this.files.delete(from);
    this.failIf('afterRename');
  };

  readonly remove = async (path: string): Promise<void> => {
    this.files.delete(path);
  };

  readonly syncFolder = async (): Promise<void> => {
    this.durableNames.clear();
    this.files.forEach((file, path) => this.durableNames.set(path, file));
  };

  /** Restarts after a power loss with the synced data, and with some bytes of a torn write. */
  restart(tornBytes = 0): void {
    this.failAt = undefined;
    this.files.clear();
    this.durableNames.forEach((file, path) => {
      const recovered = file.written.subarray(0, file.synced.length + tornBytes);
      const written = Buffer.from(recovered.length > file.synced.length ? recovered : file.synced);
      this.files.set(path, { written, synced: file.synced });
    });
  }

  /** Corrupts one byte of a file. */
  corruptByte(path: string, position: number): void {
    const file = this.files.get(path);
    if (file) file.written[position] = 0x7e;
  }

  private append(file: MemoryFile, bytes: Buffer): void {
    this.failIf('beforeAppend');
    if (this.isFull) throw Object.assign(new Error('no space left on device'), { code: 'ENOSPC' });
    const part = this.failAt === 'tornAppend' ? bytes.subarray(0, bytes.length - 5) : bytes;
    file.written = Buffer.concat([file.written, part]);
    this.failIf('tornAppend');
  }

  private sync(file: MemoryFile): void {
    this.failIf('beforeSync');
    file.synced = Buffer.from(file.written);
    this.failIf('afterSync');
  }

  private failIf(point: FailurePoint): void {
    if (this.failAt === point) throw new Error(`power lost: ${point}`);
  }
}
