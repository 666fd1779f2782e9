import {
  mkdir, open, readFile, rename, rm,
} from 'node:fs/promises';

/** A file that is only appended to. */
export interface AppendFile {
  /** Writes at the end; the bytes last only after `sync`. */
  readonly append: (bytes: Buffer) => Promise<void>;
  readonly sync: () => Promise<void>;
  readonly truncate: (length: number) => Promise<void>;
  readonly close: () => Promise<void>;
}

/**
 * The part of a file system that the stores use; tests put one in its place that loses what was not
 * synced.
 */
export interface FileSystem {
  readonly makeFolder: (path: string) => Promise<void>;
  /** Whole content, or undefined when there is no such file. */
  readonly readFile: (path: string) => Promise<Buffer | undefined>;
  readonly openAppend: (path: string) => Promise<AppendFile>;
  readonly rename: (from: string, to: string) => Promise<void>;
  readonly remove: (path: string) => Promise<void>;
  /** Makes renames and new names in a folder last. */
  readonly syncFolder: (path: string) => Promise<void>;
}

/** The machine's own file system. */
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
