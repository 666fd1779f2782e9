import { nameStart } from '../core/quarantine/crashTable';
import type { CrashSighting } from '../protocol/generated/beechlift';

/** How long a leader that is new is told of an end, in milliseconds. */
const KEPT_MS = 60_000;
/** Bounds what is kept: the oldest go. */
const MAX_KEPT = 256;

/** A server that ended under a request, as this entry saw it. */
export type SeenEnd = Omit<CrashSighting, 'ageMs'>;

interface KeptEnd {
  readonly end: SeenEnd;
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
export class CrashNotes {
  private kept: KeptEnd[] = [];

  /** Notes an end. */
  add(end: SeenEnd, now: number): void {
    this.kept = [
      ...this.kept.filter(({ at }) => now - at <= KEPT_MS), { end, at: now, isTold: false },
    ].slice(-MAX_KEPT);
  }

  /** Whether a server ended under any request of late. */
  hasEnds(now: number): boolean {
    return this.kept.some(({ at }) => now - at <= KEPT_MS);
  }

  /** Counts the servers that ended here of late under a request. */
  countServers(wanted: string, now: number): number {
    return new Set(this.kept
      .filter(({ end, at }) => end.fingerprint === wanted && now - at <= KEPT_MS)
      .map(({ end }) => nameStart(end))).size;
  }

  /** Whether the leader is to hear of something. */
  get hasUntold(): boolean {
    return this.kept.some(({ isTold }) => !isTold);
  }

  /** Begins anew with another leader. */
  markUntold(): void {
    this.kept.forEach((kept) => {
      kept.isTold = false;
    });
  }

  /** What the leader has not heard yet. */
  takeUntold(now: number): CrashSighting[] {
    const untold = this.kept.filter(({ isTold }) => !isTold);
    untold.forEach((kept) => {
      kept.isTold = true;
    });
    return untold.map(({ end, at }) => ({ ...end, ageMs: Math.round(now - at) }));
  }

  /** Forgets a request that was served after all. */
  forget(fingerprint: string): void {
    this.kept = this.kept.filter(({ end }) => end.fingerprint !== fingerprint);
  }
}
