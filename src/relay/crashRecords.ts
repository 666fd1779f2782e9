import { formatIncarnation } from '../core/quarantine/crashTable';
import type { CrashSighting } from '../protocol/generated/beechlift';

/** How long a leader that is new is told of an end, in milliseconds. */
const RETENTION_MS = 60_000;
/** Bounds what is kept: the oldest go. */
const MAX_RECORDS = 256;

/** A server that ended under a request, as this entry saw it. */
export type ServerCrash = Omit<CrashSighting, 'ageMs'>;

interface CrashRecord {
  readonly end: ServerCrash;
  readonly at: number;
  isTold: boolean;
}

/**
 * Servers that ended under requests of this entry. Kept for a while, as a leader that is new knows
 * nothing of what the one before was told.
 *
 * @example
 * notes.add({ fingerprint, workerId: 'w1', born: 0 }, clock.now());
 * message.sightings = notes.takeUntold(clock.now());
 */
export class CrashRecords {
  private records: CrashRecord[] = [];

  /** Notes an end. */
  add(crash: ServerCrash, now: number): void {
    this.records = [
      ...this.records.filter(({ at }) => now - at <= RETENTION_MS), { end: crash, at: now, isTold: false },
    ].slice(-MAX_RECORDS);
  }

  /** Whether a server ended under any request of late. */
  hasCrashes(now: number): boolean {
    return this.records.some(({ at }) => now - at <= RETENTION_MS);
  }

  /** Counts the servers that ended here of late under a request. */
  countServers(fingerprint: string, now: number): number {
    return new Set(this.records
      .filter(({ end: crash, at }) => crash.fingerprint === fingerprint && now - at <= RETENTION_MS)
      .map(({ end: crash }) => formatIncarnation(crash))).size;
  }

  /** Whether the leader is to hear of something. */
  get hasUnreported(): boolean {
    return this.records.some(({ isTold: isReported }) => !isReported);
  }

  /** Begins anew with another leader. */
  markUnreported(): void {
    this.records.forEach((record) => {
      record.isTold = false;
    });
  }

  /** What the leader has not heard yet. */
  takeUnreported(now: number): CrashSighting[] {
    const unreported = this.records.filter(({ isTold: isReported }) => !isReported);
    unreported.forEach((record) => {
      record.isTold = true;
    });
    return unreported.map(({ end: crash, at }) => ({ ...crash, ageMs: Math.round(now - at) }));
  }

  /** Forgets a request that was served after all. */
  forget(fingerprint: string): void {
    this.records = this.records.filter(({ end: crash }) => crash.fingerprint !== fingerprint);
  }
}
