import type { Announcement, Member, PeerClient } from '../../protocol/generated/beechlift';
import { BeechliftError } from '../../errors/beechliftError';
import type { Clock } from '../../utils/clock';
import { Operation } from '../../utils/operation';
import type { LinkTable } from '../../wire/linkTable';
import { toPeerError } from '../../wire/peerError';
import type { Configuration } from '../inForce/configuration';
import { AnnouncementCache } from './announcementCache';

/** How long another entry may take to answer, in milliseconds. */
const FORWARD_TIMEOUT_MS = 800;

/** What spreading announcements needs. */
export interface AnnouncementForwarderParts {
  /** Id of this entry. */
  readonly id: string;
  readonly configuration: Configuration;
  readonly peers: LinkTable<PeerClient>;
  readonly clock: Clock;
  /** Whether a pool has one owner for all entries; without, each takes in what it hears itself. */
  readonly hasSharedOwner: boolean;
  readonly findOwner: (pool: string) => Member | undefined;
  /** Asks control for the members as they are now. */
  readonly refreshView: () => Promise<unknown>;
  /** Gives an announcement to the pool's owner, where that is this entry. */
  readonly applyAnnouncement: (announcement: Announcement) => void;
}

/**
 * Brings what backend servers say of themselves to the owners of their pools.
 *
 * @example
 * await spread.announce(announcement);
 */
export class AnnouncementForwarder {
  private readonly cache = new AnnouncementCache();

  constructor(private readonly parts: AnnouncementForwarderParts) {}

  /**
   * Brings an announcement to the pool's owner, and keeps it for an owner that takes over. That a
   * server leaves is told to every member before it is acknowledged, so that whoever owns the pool
   * next knows it. The members are asked for first: an entry that joined within the last heartbeat
   * may own the pool already, with a "ready" that it heard since.
   */
  async announce(announcement: Announcement): Promise<void> {
    const isNewlyLeaving = this.store(announcement);
    const {
      findOwner, hasSharedOwner: hasSharedOwner, refreshView, applyAnnouncement: applyAnnouncement,
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
   * Takes in an announcement that another entry forwarded. One that leaves is handed on once to
   * whom this entry takes for the owner, as the teller may know an older view.
   */
  async handleForwarded(announcement: Announcement): Promise<void> {
    const { id, findOwner, applyAnnouncement: applyAnnouncement } = this.parts;
    const isNewlyLeaving = announcement.state === 'leaving' && this.store(announcement);
    applyAnnouncement(announcement);
    const owner = findOwner(announcement.pool);
    if (isNewlyLeaving && owner && owner.id !== id) await this.forward(owner, announcement);
  }

  /** Lists what an owner that takes over begins with. */
  listRecent(): readonly Announcement[] {
    return this.cache.list(this.parts.clock.now());
  }

  /** Announces what is kept once more: an owner that took over learns of it now. */
  announceAgain(): void {
    this.listRecent().forEach((announcement) => {
      this.announce(announcement).catch(() => undefined);
    });
  }

  /*
   * Guards a pool's new owner against what it heard before it was a member: nobody told it then
   * who leaves.
   */
  private store(announcement: Announcement): boolean {
    const { configuration, id, clock } = this.parts;
    if (!configuration.members.some((member) => member.id === id)) return false;
    return this.cache.store(announcement, clock.now());
  }

  /** An entry that doesn't answer in time is not waited for: its own view then ends soon. */
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
