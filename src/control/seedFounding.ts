import { setTimeout as pause } from 'node:timers/promises';
import type { MeetReply, Replica } from '../protocol/generated/beechlift';
import type { ReplicaIdentity } from './replicaIdentity';

/** Interval at which seeds that have not found each other ask again, in milliseconds. */
const POLL_MS = 50;

/** Dependencies of founding. */
export interface SeedFoundingParts {
  readonly identity: ReplicaIdentity;
  readonly readSelf: () => Replica;
  /** gRPC addresses of the founding replicas. */
  readonly seeds: readonly string[];
  /** Whether the settings declare the first start of the site. */
  readonly isFirstStart: boolean;
  /** Asks another replica for its identity and founders; undefined if it does not answer. */
  readonly askSeed: (address: string) => Promise<MeetReply | undefined>;
}

/**
 * Determines the initial voters of a replica: all seeds if the site starts for the first time, or
 * none if the replica joins an existing site.
 *
 * This prevents two separate sites from forming. The founders are the identities of all seeds, each
 * synced before it was sent, and a seed that finds a founder adopts its list. A replica whose disk
 * was lost has an identity that is not in the list, and joins the site as a new replica.
 *
 * @example
 * const founders = await new SeedFounding(parts).waitForFounders(); // empty: it joins
 */
export class SeedFounding {
  constructor(private readonly parts: SeedFoundingParts) {}

  /** Resolves with the initial voters of the site; empty if this replica joins an existing site. */
  async waitForFounders(): Promise<readonly Replica[]> {
    const { identity } = this.parts;
    if (identity.founders) return identity.founders;
    const founders = await this.findFounders();
    await identity.saveFounders(founders);
    return founders;
  }

  private async findFounders(): Promise<readonly Replica[]> {
    const {
      seeds, readSelf, isFirstStart, identity,
    } = this.parts;
    const self = readSelf();
    const isSeed = seeds.includes(self.address);
    // A founder that was killed before it could start may be restarted without the flag for a first
    // start. Its stored identity shows that it is a founder.
    if (!isSeed || !(isFirstStart || identity.existedAtStart)) return [];
    return this.poll(self, seeds.filter((address) => address !== self.address));
  }

  private async poll(self: Replica, others: readonly string[]): Promise<readonly Replica[]> {
    const replies = await Promise.all(others.map((address) => this.parts.askSeed(address)));
    const received = replies.flatMap((reply) => reply ?? []);
    const founder = received.find(({ founded, founders }) => founded && founders.length > 0);
    if (founder) {
      const isFounder = founder.founders.some(({ id }) => id === self.id);
      return isFounder ? founder.founders : [];
    }
    if (received.some(({ founded }) => founded)) return [];
    const births = received.flatMap((reply) => reply.self ?? []);
    if (births.length === others.length) return [self, ...births];
    await pause(POLL_MS);
    return this.poll(self, others);
  }
}
