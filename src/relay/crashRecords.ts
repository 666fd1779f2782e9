import { formatIncarnation } from '../core/quarantine/crashTable';
import type { CrashSighting } from '../protocol/generated/beechlift';

/** How long a crash is kept and reported to new leaders, in milliseconds. */
const RETENTION_MS = 60_000;
/** Most crashes that are kept; the oldest are dropped. */
const MAX_RECORDS = 1_024;

/** A crash of a server that ran a request, as this entry saw it. */
export type ServerCrash = Omit<CrashSighting, 'ageMs'>;

interface CrashRecord {
  readonly crash: ServerCrash;
  readonly at: number;
  isReported: boolean;
}

/**
 * Keeps the crashes of servers that ran requests of this entry for some time, because a new leader
 * does not have the reports that were sent to the previous one.
 *
 * @example
 * crashes.add({ fingerprint, workerId: 'w1', born: 0 }, clock.now());
 * message.sightings = crashes.takeUnreported(clock.now());
 */
export class CrashRecords {
  private records: CrashRecord[] = [];

  /** Adds a crash. */
  add(crash: ServerCrash, now: number): void {
    this.records = [
      ...this.records.filter(({ at }) => now - at <= RETENTION_MS),
      { crash, at: now, isReported: false },
    ].slice(-MAX_RECORDS);
  }

  /** Whether any server has recently crashed while it ran a request. */
  hasCrashes(now: number): boolean {
    return this.records.some(({ at }) => now - at <= RETENTION_MS);
  }

  /** Counts the servers that have recently crashed while they ran a request. */
  countServers(fingerprint: string, now: number): number {
    return new Set(this.records
      .filter(({ crash, at }) => crash.fingerprint === fingerprint && now - at <= RETENTION_MS)
      .map(({ crash }) => formatIncarnation(crash))).size;
  }

  /** Whether there are crashes that were not reported to the leader. */
  get hasUnreported(): boolean {
    return this.records.some(({ isReported }) => !isReported);
  }

  /** Marks all crashes as unreported, for a new leader. */
  markUnreported(): void {
    this.records.forEach((record) => {
      record.isReported = false;
    });
  }

  /** Returns the crashes that were not reported yet and marks them as reported. */
  takeUnreported(now: number): CrashSighting[] {
    const unreported = this.records.filter(({ isReported }) => !isReported);
    unreported.forEach((record) => {
      record.isReported = true;
    });
    return unreported.map(({ crash, at }) => ({ ...crash, ageMs: Math.round(now - at) }));
  }

  /** Removes the crashes of a request that was served later. */
  forget(fingerprint: string): void {
    this.records = this.records.filter(({ crash }) => crash.fingerprint !== fingerprint);
  }
}
