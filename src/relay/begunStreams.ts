import { formatOriginRecord } from '../core/routing/originRecords';
import type { StreamOrigin } from '../core/routing/streamOrigin';
import { ORIGIN_RETENTION_MS, StreamOrigins } from '../core/routing/streamOrigins';
import type { OriginRecord } from '../core/routing/streamOrigins';
import type { StreamOriginRecord } from '../protocol/generated/beechlift';

/** Most streams that wait to be reported to a leader; the oldest are dropped. */
const MAX_UNREPORTED = 5_000;

/** A stream that this entry carries. */
export interface BegunStream {
  /** Ids of the attempts by which its caller may name it. */
  readonly ids: readonly string[];
  readonly origin: StreamOrigin;
  /** Deadline of its request, monotonic milliseconds. */
  readonly deadlineAt: number;
}

/**
 * Which version began the streams of this entry. The leader learns it of the servers that it
 * chooses; this entry reports the others, and all of them to a new leader.
 *
 * @example
 * streams.add({ ids: ['9c41'], origin, deadlineAt }, true);
 * message.origins = streams.takeUnreported(clock.now());
 */
export class BegunStreams {
  private readonly origins = new StreamOrigins();

  private unreported = new Map<string, OriginRecord>();

  /** @param isKnown whether the current leader chose the server */
  add({ ids, origin, deadlineAt }: BegunStream, isKnown: boolean): void {
    ids.forEach((id) => {
      const record = { id, origin, expiresAt: deadlineAt + ORIGIN_RETENTION_MS };
      this.origins.recordStart(record);
      if (!isKnown) this.addUnreported(record);
    });
  }

  /** Finds the version that began a stream; undefined if another entry began it. */
  find(id: string, now: number): StreamOrigin | undefined {
    return this.origins.find(id, now);
  }

  /** Number of streams that are remembered. */
  get size(): number {
    return this.origins.size;
  }

  /** Whether there are streams that the leader does not know. */
  get hasUnreported(): boolean {
    return this.unreported.size > 0;
  }

  /** Marks all streams as unreported, for a new leader. */
  markUnreported(): void {
    const { records } = this.origins.listChanged(0);
    this.unreported = new Map(records.map((record) => [record.id, record]));
  }

  /** Returns the streams that the leader does not know and marks them as reported. */
  takeUnreported(now: number): StreamOriginRecord[] {
    this.origins.expire(now);
    const records = [...this.unreported.values()];
    this.unreported.clear();
    return records.map((record) => formatOriginRecord(record, now));
  }

  private addUnreported(record: OriginRecord): void {
    this.unreported.set(record.id, record);
    const [oldest = ''] = this.unreported.keys();
    if (this.unreported.size > MAX_UNREPORTED) this.unreported.delete(oldest);
  }
}
