import {
  mkdir, open, readFile, rename, rm,
} from 'node:fs/promises';

/** A file that is opened for appending. */
export interface AppendFile {
  /** Appends bytes; they survive a power loss only after `sync`. */
  readonly append: (bytes: Buffer) => Promise<void>;
  readonly sync: () => Promise<void>;
  readonly truncate: (length: number) => Promise<void>;
  readonly close: () => Promise<void>;
}

/**
 * The file system operations that the stores use; tests replace them with a file system that loses
 * unsynced data.
 */
export interface FileSystem {
  readonly makeFolder: (path: string) => Promise<void>;
  /** Reads the whole file; undefined if it does not exist. */
  readonly readFile: (path: string) => Promise<Buffer | undefined>;
  readonly openAppend: (path: string) => Promise<AppendFile>;
  readonly rename: (from: string, to: string) => Promise<void>;
  readonly remove: (path: string) => Promise<void>;
  /** Makes renames and new files in a folder durable. */
  readonly syncFolder: (path: string) => Promise<void>;
}

/** The file system of the machine. */
export const nodeFileSystem: FileSystem = {
  makeFolder: async (path) => {
    await mkdir(path, { recursive: true });
  },
  readFile: async (path) => {
    try {
      return await readFile(path);
    } catch (error) {
      if ((error as NodeJS.ErrnoException).code === 'ENOENT') return undefined;
      throw error;
    }
  },
  openAppend: async (path) => {
    const file = await open(path, 'a');
    return {
      append: (bytes) => file.appendFile(bytes),
      sync: () => file.datasync(),
      truncate: (length) => file.truncate(length),
      close: () => file.close(),
    };
  },
  rename,
  remove: (path) => rm(path, { force: true }),
  syncFolder: async (path) => {
    const folder = await open(path, 'r');
    await folder.sync();
    await folder.close();
  },
};
