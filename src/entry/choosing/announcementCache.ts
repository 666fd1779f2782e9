import { LRUCache } from 'lru-cache';
import { MAX_ANNOUNCEMENT_DELAY_MS } from '../../core/schedule/announcements';
import type { Announcement } from '../../protocol/generated/beechlift';

/** How long an announcement can be used by a new owner of the pool, in milliseconds. */
const MAX_AGE_MS = 3_000;

/** Maximum number of cached announcements; larger than the number of backend servers of a site. */
const MAX_ANNOUNCEMENTS = 10_000;

interface CachedAnnouncement {
  readonly announcement: Announcement;
  readonly at: number;
}

const formatIncarnationKey = (
  { id, incarnation }: Announcement,
): string => JSON.stringify([id, incarnation]);

/**
 * Caches the recent announcements of backend servers, for an entry that becomes the owner of a
 * pool. Does no I/O; all times are monotonic milliseconds.
 *
 * Prevents new requests to a server that is leaving. A server announces itself to its entries one
 * after the other, so the latest announcement that one entry has may be older than "leaving". A
 * new owner that starts with such a "ready" would send requests to the leaving server until it
 * receives the later announcement. Therefore the cache records each incarnation that is leaving,
 * and ignores its "ready" for the maximum delay of an announcement.
 *
 * @example
 * const isNewlyLeaving = cache.store(announcement, clock.now());
 */
export class AnnouncementCache {
  private readonly cached = new LRUCache<string, CachedAnnouncement>({ max: MAX_ANNOUNCEMENTS });

  /** When each incarnation of a server last announced that it is leaving. */
  private readonly lastLeavingAt = new LRUCache<string, number>({ max: MAX_ANNOUNCEMENTS });

  /**
   * Stores an announcement.
   *
   * @returns whether it is the first one here that reports this incarnation as leaving
   */
  store(announcement: Announcement, now: number): boolean {
    const incarnationKey = formatIncarnationKey(announcement);
    const lastLeavingAt = this.lastLeavingAt.get(incarnationKey);
    const isLeaving = announcement.state === 'leaving';
    const mayBeOutdated = lastLeavingAt !== undefined
      && now - lastLeavingAt < MAX_ANNOUNCEMENT_DELAY_MS;
    if (!isLeaving && mayBeOutdated) return false;
    // A server that became ready again may leave again, which must be reported as new.
    if (isLeaving) this.lastLeavingAt.set(incarnationKey, now);
    else this.lastLeavingAt.delete(incarnationKey);
    this.cached.set(announcement.id, { announcement, at: now });
    return isLeaving && lastLeavingAt === undefined;
  }

  /** Lists the announcements that are recent enough to be used. */
  list(now: number): readonly Announcement[] {
    return [...this.cached.values()]
      .filter(({ at }) => now - at <= MAX_AGE_MS)
      .map(({ announcement }) => announcement);
  }
}
