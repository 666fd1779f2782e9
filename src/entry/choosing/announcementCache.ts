import { LRUCache } from 'lru-cache';
import { MAX_ANNOUNCEMENT_DELAY_MS } from '../../core/schedule/announcements';
import type { Announcement } from '../../protocol/generated/beechlift';

/** How long an announcement is good for an owner that takes over. */
const MAX_AGE_MS = 3_000;

/** Most announcements kept; more than a site's backend servers. */
const MAX_ANNOUNCEMENTS = 10_000;

interface CachedAnnouncement {
  readonly announcement: Announcement;
  readonly at: number;
}

const formatIncarnationKey = ({ id, incarnation }: Announcement): string => JSON.stringify([id, incarnation]);

/**
 * What backend servers said here of late, for an entry that takes a pool over. Knows nothing of the
 * wire; all times are monotonic milliseconds.
 *
 * Guards a server that leaves against an older "ready" of its own: it tells its entries in turn, so
 * the newest word that one entry holds may be from before it said that it leaves. That word given
 * to a new owner had the leaving server sent up to four new requests in the 70 ms until the owner
 * heard the later one. A start that said that it leaves is remembered, and its "ready" is not kept
 * within the longest way of an announcement.
 *
 * @example
 * const isNews = memo.keep(announcement, clock.now());
 */
export class AnnouncementCache {
  private readonly cached = new LRUCache<string, CachedAnnouncement>({ max: MAX_ANNOUNCEMENTS });

  /** When each start of a server was last heard to leave. */
  private readonly leftAt = new LRUCache<string, number>({ max: MAX_ANNOUNCEMENTS });

  /**
   * Keeps an announcement.
   *
   * @returns whether it says for the first time here that this start of the server leaves
   */
  store(announcement: Announcement, now: number): boolean {
    const incarnationKey = formatIncarnationKey(announcement);
    const leftAt = this.leftAt.get(incarnationKey);
    const isLeaving = announcement.state === 'leaving';
    const mayBeOutdated = leftAt !== undefined && now - leftAt < MAX_ANNOUNCEMENT_DELAY_MS;
    if (!isLeaving && mayBeOutdated) return false;
    // A server that is ready after all may leave again: that is news once more.
    if (isLeaving) this.leftAt.set(incarnationKey, now);
    else this.leftAt.delete(incarnationKey);
    this.cached.set(announcement.id, { announcement, at: now });
    return isLeaving && leftAt === undefined;
  }

  /** Lists what was said of late. */
  list(now: number): readonly Announcement[] {
    return [...this.cached.values()]
      .filter(({ at }) => now - at <= MAX_AGE_MS)
      .map(({ announcement }) => announcement);
  }
}
