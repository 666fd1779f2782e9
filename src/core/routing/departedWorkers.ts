import { LRUCache } from 'lru-cache';
import type { WorkerAnnouncement } from '../../protocol/generated/beechlift';
import { GONE_RETENTION_MS } from './workerTable';
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

/** Bounds the memory that departures use; those not looked at for longest are dropped first. */
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
  private readonly departures = new LRUCache<string, Departure>({ max: MAX_DEPARTURES });

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
    this.departures.set(workerId, { born, sequence: lastSequence, recordedAt: now });
  }

  /** Whether an announcement is older than the departure of its incarnation. */
  isOutdated({ workerId, born, sequence }: AnnouncementIdentity, now: number): boolean {
    const known = this.departures.get(workerId);
    return known !== undefined
      && known.born === born
      && sequence <= known.sequence
      && now - known.recordedAt < GONE_RETENTION_MS;
  }
}
