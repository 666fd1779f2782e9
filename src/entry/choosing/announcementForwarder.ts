import type { Announcement, Member, PeerClient } from '../../protocol/generated/beechlift';
import { BeechliftError } from '../../errors/beechliftError';
import type { Clock } from '../../utils/clock';
import { Operation } from '../../utils/operation';
import type { LinkTable } from '../../wire/linkTable';
import { toPeerError } from '../../wire/peerError';
import type { Configuration } from '../inForce/configuration';
import { AnnouncementCache } from './announcementCache';

/** Timeout of a call to another entry, in milliseconds. */
const FORWARD_TIMEOUT_MS = 800;

/** Dependencies of the announcement forwarder. */
export interface AnnouncementForwarderParts {
  /** Id of this entry. */
  readonly id: string;
  readonly configuration: Configuration;
  readonly peers: LinkTable<PeerClient>;
  readonly clock: Clock;
  /** Whether all entries share one owner per pool; otherwise each uses what it receives itself. */
  readonly hasSharedOwner: boolean;
  readonly findOwner: (pool: string) => Member | undefined;
  /** Requests the current members from control. */
  readonly refreshView: () => Promise<unknown>;
  /** Applies an announcement to the pool, if this entry owns it. */
  readonly applyAnnouncement: (announcement: Announcement) => void;
}

/**
 * Forwards the announcements of backend servers to the owners of their pools.
 *
 * @example
 * await forwarder.announce(announcement);
 */
export class AnnouncementForwarder {
  private readonly cache = new AnnouncementCache();

  constructor(private readonly parts: AnnouncementForwarderParts) {}

  /**
   * Forwards an announcement to the pool's owner, and caches it in case this entry becomes the
   * owner. An announcement that a server is leaving goes to every member before it is acknowledged,
   * so that any later owner has it. The view is refreshed first: an entry that joined since the
   * last heartbeat may already own the pool, with a "ready" that it has received since then.
   */
  async announce(announcement: Announcement): Promise<void> {
    const isNewlyLeaving = this.store(announcement);
    const {
      findOwner, hasSharedOwner, refreshView, applyAnnouncement,
    } = this.parts;
    if (isNewlyLeaving && hasSharedOwner) await refreshView();
    const owner = findOwner(announcement.pool);
    if (!owner) throw new BeechliftError('ownerMoved', `no entry VM owns pool "${announcement.pool}" yet`);
    if (!hasSharedOwner) {
      applyAnnouncement(announcement);
      return;
    }
    if (isNewlyLeaving) await this.forwardToOthers(announcement, owner);
    await this.forward(owner, announcement);
  }

  /**
   * Handles an announcement that another entry forwarded. The first one that reports a server as
   * leaving is forwarded once more, to the owner in this entry's view, because the sender may have
   * an older view.
   */
  async handleForwarded(announcement: Announcement): Promise<void> {
    const { id, findOwner, applyAnnouncement } = this.parts;
    const isNewlyLeaving = announcement.state === 'leaving' && this.store(announcement);
    applyAnnouncement(announcement);
    const owner = findOwner(announcement.pool);
    if (isNewlyLeaving && owner && owner.id !== id) await this.forward(owner, announcement);
  }

  /** Lists the announcements that a new owner starts with. */
  listRecent(): readonly Announcement[] {
    return this.cache.list(this.parts.clock.now());
  }

  /** Forwards the cached announcements again, so that a new owner receives them at once. */
  announceAgain(): void {
    this.listRecent().forEach((announcement) => {
      this.announce(announcement).catch(() => undefined);
    });
  }

  /*
   * Ignores announcements while this entry is not a member: other entries don't forward to it yet
   * which servers are leaving, so as a new owner it could rely on an outdated "ready".
   */
  private store(announcement: Announcement): boolean {
    const { configuration, id, clock } = this.parts;
    if (!configuration.members.some((member) => member.id === id)) return false;
    return this.cache.store(announcement, clock.now());
  }

  /** Ignores an entry that does not answer in time, because its own view expires soon. */
  private async forwardToOthers(announcement: Announcement, owner: Member): Promise<void> {
    const others = this.parts.configuration.members
      .filter(({ id }) => id !== owner.id && id !== this.parts.id);
    await Promise.allSettled(others.map((member) => this.forward(member, announcement)));
  }

  private async forward(member: Member, announcement: Announcement): Promise<void> {
    if (member.id === this.parts.id) {
      this.parts.applyAnnouncement(announcement);
      return;
    }
    await this.parts.peers.find(member.peerAddress).call<Announcement, object>(
      (stub) => stub.forwardAnnouncement.bind(stub),
      announcement,
      new Operation({ timeoutMs: FORWARD_TIMEOUT_MS }),
    ).catch((thrown: unknown) => {
      throw toPeerError(thrown, 'ownerMoved');
    });
  }
}
