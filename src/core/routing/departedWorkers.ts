import type { WorkerAnnouncement } from '../../protocol/generated/beechlift';
import type { WorkerStanding } from './workerTable';

/** The part of an announcement that identifies it. */
type AnnouncementIdentity = Pick<WorkerAnnouncement, 'workerId' | 'born' | 'sequence'>;

interface Departure {
  /** Start time of the incarnation. */
  readonly born: number;
  /** Announcements up to this sequence number are older than the departure. */
  readonly sequence: number;
  /** Monotonic milliseconds. */
  readonly recordedAt: number;
}

/** How long a departure is kept, in milliseconds: as long as the leader keeps it. */
const RETENTION_MS = 300_000;

/** Bounds the memory that departures use; the oldest are dropped first. */
const MAX_DEPARTURES = 2_000;

/**
 * Servers that an entry was told are leaving or gone.
 *
 * A new leader may have an older table than its entries. What a server has said itself is not
 * forgotten with the leader that heard it: only a later announcement makes the server ready again.
 *
 * @example
 * departures.record(announcement, 'draining', clock.now());
 * if (departures.isOutdated(announcement, clock.now())) return;
 */
export class DepartedWorkers {
  private readonly departures = new Map<string, Departure>();

  /** Records the standing of a server; those that take requests are left out. */
  record(
    { workerId, born, sequence }: AnnouncementIdentity,
    standing: WorkerStanding,
    now: number,
  ): void {
    if (standing !== 'draining' && standing !== 'gone') return;
    const known = this.departures.get(workerId);
    const lastSequence = standing === 'gone' ? Infinity : sequence;
    const isKnown = known?.born === born && known.sequence >= lastSequence;
    if (isKnown) return;
    this.departures.delete(workerId);
    this.departures.set(workerId, { born, sequence: lastSequence, recordedAt: now });
    this.dropOldest();
  }

  /** Whether an announcement is older than the departure of its incarnation. */
  isOutdated({ workerId, born, sequence }: AnnouncementIdentity, now: number): boolean {
    const known = this.departures.get(workerId);
    return known !== undefined
      && known.born === born
      && sequence <= known.sequence
      && now - known.recordedAt < RETENTION_MS;
  }

  private dropOldest(): void {
    if (this.departures.size <= MAX_DEPARTURES) return;
    const [oldest = ''] = this.departures.keys();
    this.departures.delete(oldest);
  }
}
