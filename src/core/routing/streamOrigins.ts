import type { StreamOrigin } from './streamOrigin';

/** Most streams that are remembered; the oldest are dropped. */
const MAX_RECORDS = 100_000;
/** Most records in one list, so that a message stays far below the limit of the transport. */
const MAX_LISTED = 5_000;
/** Interval at which expired records are dropped, in milliseconds. */
const EXPIRE_INTERVAL_MS = 5_000;
/** How long the origin of a stream is kept after its deadline, in milliseconds. */
export const ORIGIN_RETENTION_MS = 5_000;

/** The origin of the stream that one attempt of a caller began. */
export interface OriginRecord {
  /** The caller's id of the attempt. */
  readonly id: string;
  /** Undefined if there are reports of several versions. */
  readonly origin: StreamOrigin | undefined;
  /** Monotonic milliseconds. */
  readonly expiresAt: number;
}

interface StoredRecord extends OriginRecord {
  readonly revision: number;
}

/** Records that changed since a revision, and the revision up to which they are complete. */
export interface OriginChanges {
  readonly records: readonly OriginRecord[];
  readonly revision: number;
}

const isSame = (a: StreamOrigin | undefined, b: StreamOrigin | undefined): boolean => (
  a?.service === b?.service && a?.software === b?.software);

/**
 * Which software version began which stream. A caller that takes a stream up names the attempt that
 * began it, at any entry; the entry that carried it may be gone.
 *
 * Each record was reported by an entry that passed an answer on. The grant of a slot is no record:
 * its entry may have used another server.
 *
 * @example
 * origins.recordStart({ id: '9c41', origin: { service: 'rooms', software: 'v1' }, expiresAt });
 * origins.find('9c41', clock.now()); // { service: 'rooms', software: 'v1' }
 */
export class StreamOrigins {
  /** By id, in the order of their last change. */
  private readonly records = new Map<string, StoredRecord>();

  /** The latest changes, one for each revision. */
  private recentChanges: StoredRecord[] = [];

  private lastRevision = 0;

  private expiredAt = -Infinity;

  /** Number of remembered streams. */
  get size(): number {
    return this.records.size;
  }

  /** Increases with each change. */
  get revision(): number {
    return this.lastRevision;
  }

  /** Records which version began a stream; a second version makes its origin unknown. */
  recordStart(record: OriginRecord): void {
    const known = this.records.get(record.id);
    if (!known) {
      this.store(record);
      return;
    }
    const origin = isSame(known.origin, record.origin) ? known.origin : undefined;
    const expiresAt = Math.max(known.expiresAt, record.expiresAt);
    const isNew = !isSame(origin, known.origin) || expiresAt > known.expiresAt;
    if (isNew) this.store({ ...record, origin, expiresAt });
  }

  /** Finds the origin of a stream; undefined if it is unknown. */
  find(id: string, now: number): StreamOrigin | undefined {
    const record = this.records.get(id);
    return record && now <= record.expiresAt ? record.origin : undefined;
  }

  /** Lists the records that changed after a revision, oldest change first. */
  listChanged(sinceRevision: number): OriginChanges {
    const records = this.listNewer(sinceRevision).slice(0, MAX_LISTED);
    return { records, revision: records.at(-1)?.revision ?? this.lastRevision };
  }

  /** Adopts a record of another process. */
  adopt(record: OriginRecord): void {
    this.store(record);
  }

  /** Drops expired records; does nothing if it did so a short time ago. */
  expire(now: number): void {
    if (now - this.expiredAt < EXPIRE_INTERVAL_MS) return;
    this.expiredAt = now;
    this.records.forEach(({ expiresAt }, id) => {
      if (expiresAt < now) this.records.delete(id);
    });
  }

  /** Searches all records only for a client that lacks more than the recent changes. */
  private listNewer(sinceRevision: number): readonly StoredRecord[] {
    const [oldest] = this.recentChanges;
    if (oldest && oldest.revision <= sinceRevision + 1) {
      return this.recentChanges.slice(sinceRevision + 1 - oldest.revision);
    }
    return [...this.records.values()].filter(({ revision }) => revision > sinceRevision);
  }

  private store(record: OriginRecord): void {
    this.lastRevision += 1;
    const stored = { ...record, revision: this.lastRevision };
    this.records.delete(record.id);
    this.records.set(record.id, stored);
    this.recentChanges.push(stored);
    if (this.recentChanges.length > 2 * MAX_LISTED) {
      this.recentChanges = this.recentChanges.slice(-MAX_LISTED);
    }
    if (this.records.size <= MAX_RECORDS) return;
    const [oldest = ''] = this.records.keys();
    this.records.delete(oldest);
  }
}
