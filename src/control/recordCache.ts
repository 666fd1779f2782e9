import type { FileSystem } from '../disk/fileSystem';
import { RecordFile } from '../disk/recordFile';
import type { Logger } from '../telemetry/logger';

/** Shortest time between two writes, in milliseconds: what changes meanwhile goes into one. */
const WRITE_MS = 500;

/** What a memo is made from. */
export interface RecordCacheParts<Item> {
  readonly files: FileSystem;
  readonly path: string;
  /** Reads a record; what an earlier version wrote may lack fields. */
  readonly parse: (record: Partial<Item>) => Item;
  readonly logger: Logger;
}

/**
 * Remembers over a restart what would be heard again only later, such as the backend servers: until
 * their next announcements a site whose processes were all killed at once would have nowhere to
 * send requests. What is remembered may be old, and nothing depends on its being there.
 *
 * @example
 * const records = await memo.load();
 * memo.note(`${epoch}/${revision}`, clock.now(), () => listRecords());
 */
export class RecordCache<Item> {
  private readonly file: RecordFile;

  /** State that is on the disk, or on its way there. */
  private writtenState = '';

  private writtenAt = -Infinity;

  private isWriting = false;

  constructor(private readonly parts: RecordCacheParts<Item>) {
    this.file = new RecordFile(parts.files, parts.path);
  }

  /** What was remembered; nothing when that cannot be read. */
  async load(): Promise<Item[]> {
    const { path, parse, logger } = this.parts;
    try {
      return (await this.file.open()).map((record) => parse(record as Partial<Item>));
    } catch (error) {
      logger.warn('remembered records cannot be read', { path, reason: (error as Error).message });
      return [];
    }
  }

  /**
   * Writes what changed, when the last write is long enough ago and done.
   *
   * @param state names the content: the table that it comes from, and its revision there
   */
  note(state: string, now: number, listRecords: () => readonly Item[]): void {
    const isDue = state !== this.writtenState && now - this.writtenAt >= WRITE_MS;
    if (!isDue || this.isWriting) return;
    this.writtenState = state;
    this.writtenAt = now;
    this.isWriting = true;
    this.file.replace(listRecords)
      .catch((error: unknown) => this.parts.logger.warn('records cannot be remembered', { path: this.parts.path, reason: (error as Error).message }))
      .finally(() => {
        this.isWriting = false;
      });
  }

  /** Closes the file. */
  close(): Promise<void> {
    return this.file.close();
  }
}
