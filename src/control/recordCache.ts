import type { FileSystem } from '../disk/fileSystem';
import { RecordFile } from '../disk/recordFile';
import type { Logger } from '../telemetry/logger';

/** Shortest time between two writes, in milliseconds; one write covers all changes in between. */
const WRITE_MS = 500;

/** Dependencies of a record cache. */
export interface RecordCacheParts<Item> {
  readonly files: FileSystem;
  readonly path: string;
  /** Parses a record; records that an earlier version wrote may lack fields. */
  readonly parse: (record: Partial<Item>) => Item;
  readonly logger: Logger;
}

/**
 * Caches records on disk across restarts, such as the backend servers. Without the cache, a site
 * whose processes were all killed at once would have no server to send requests to until the next
 * announcements. Cached records may be stale or missing.
 *
 * @example
 * const records = await cache.load();
 * cache.saveIfChanged(`${epoch}/${revision}`, clock.now(), () => listRecords());
 */
export class RecordCache<Item> {
  private readonly file: RecordFile;

  /** State that was last written to disk, or is being written. */
  private writtenState = '';

  private writtenAt = -Infinity;

  private isWriting = false;

  constructor(private readonly parts: RecordCacheParts<Item>) {
    this.file = new RecordFile(parts.files, parts.path);
  }

  /** Reads the cached records; returns none if the file cannot be read. */
  async load(): Promise<Item[]> {
    const { path, parse, logger } = this.parts;
    try {
      return (await this.file.open()).map((record) => parse(record as Partial<Item>));
    } catch (error) {
      logger.warn('cached records could not be read', { path, reason: (error as Error).message });
      return [];
    }
  }

  /**
   * Writes the records if they changed and the last write is done and long enough ago.
   *
   * @param state identifies the content: epoch and revision of the table that it comes from
   */
  saveIfChanged(state: string, now: number, listRecords: () => readonly Item[]): void {
    const isDue = state !== this.writtenState && now - this.writtenAt >= WRITE_MS;
    if (!isDue || this.isWriting) return;
    this.writtenState = state;
    this.writtenAt = now;
    this.isWriting = true;
    this.file.replace(listRecords)
      .catch((error: unknown) => this.parts.logger.warn('records could not be cached', { path: this.parts.path, reason: (error as Error).message }))
      .finally(() => {
        this.isWriting = false;
      });
  }

  /** Closes the file. */
  close(): Promise<void> {
    return this.file.close();
  }
}
