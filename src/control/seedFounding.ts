import { setTimeout as pause } from 'node:timers/promises';
import type { MeetReply, Replica } from '../protocol/generated/beechlift';
import type { ReplicaIdentity } from './replicaIdentity';

/** How often seeds that do not know of each other yet ask again. */
const POLL_MS = 50;

/** What founding needs of a replica. */
export interface SeedFoundingParts {
  readonly record: ReplicaIdentity;
  readonly readSelf: () => Replica;
  /** gRPC addresses of the replicas that found the site. */
  readonly seeds: readonly string[];
  /** Whether the settings say that the site starts for the first time. */
  readonly isFirstStart: boolean;
  /** Asks another replica who it is; undefined when it does not answer. */
  readonly askSeed: (address: string) => Promise<MeetReply | undefined>;
}

/**
 * Decides with whom a replica begins: with the other seeds when the site starts for the first time,
 * or as a newcomer of a site that is there.
 *
 * Guards against two sites that both believe to be the one. The founders are the births of all
 * seeds, each of which was synced before it was told, and who finds a founder takes over its list.
 * A replica whose disk was lost has another birth than the list names, and joins as a newcomer.
 *
 * @example
 * const founders = await new SeedFounding(parts).settle(); // empty: it joins
 */
export class SeedFounding {
  constructor(private readonly parts: SeedFoundingParts) {}

  /** Resolves with the voters that the site begins with; empty for a newcomer. */
  async waitForFounders(): Promise<readonly Replica[]> {
    const { record } = this.parts;
    if (record.founders) return record.founders;
    const founders = await this.findFounders();
    await record.saveFounders(founders);
    return founders;
  }

  private async findFounders(): Promise<readonly Replica[]> {
    const {
      seeds, readSelf, isFirstStart, record,
    } = this.parts;
    const self = readSelf();
    const isSeed = seeds.includes(self.address);
    // A founder that was killed before it could begin may be started again as if it were no first
    // start: its birth shows that it was there.
    if (!isSeed || !(isFirstStart || record.existedAtStart)) return [];
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
