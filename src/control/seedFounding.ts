import { makeUndecidedReply, planFounding } from '../core/log/foundingPlan';
import type { MeetReply, Replica } from '../protocol/generated/beechlift';
import type { Logger } from '../telemetry/logger';
import type { ReplicaIdentity } from './replicaIdentity';

/** Interval at which a replica that knows no site asks again, in milliseconds. */
const POLL_MS = 50;

/** Bounds the memory for the addresses of replicas that asked this one. */
const MAX_ASKERS = 32;

/** Dependencies of founding. */
export interface SeedFoundingParts {
  readonly identity: Pick<ReplicaIdentity, 'seeds' | 'founders' | 'saveFounders'>;
  readonly self: Replica;
  /** gRPC addresses at which the settings say to look for the site. */
  readonly readSeeds: () => readonly string[];
  /** Disks that the site may lose at the same time. */
  readonly maxDiskLosses: number;
  /** Asks another replica what it knows of a site; undefined if it does not answer. */
  readonly askReplica: (address: string) => Promise<MeetReply | undefined>;
  readonly logger: Logger;
}

/**
 * Determines the initial voters of a replica: all founders if the site starts for the first time,
 * or none if the replica joins an existing site.
 *
 * This prevents two separate sites from forming: `planFounding` decides. A replica whose disk was
 * lost has an identity that is not in the list of founders, and joins the site as a new replica.
 *
 * @example
 * const founders = await new SeedFounding(parts).waitForFounders(); // empty: it joins
 */
export class SeedFounding {
  /** A founder may be missing in the settings of the replica that it asks. */
  private readonly askers = new Set<string>();

  private candidates: readonly Replica[] = [];

  private loggedWait: string | undefined;

  constructor(private readonly parts: SeedFoundingParts) {}

  /** Answers another replica that looks for the site, until this one takes part in it. */
  answer(from: Replica | undefined): MeetReply {
    const { identity: { founders, seeds }, self } = this.parts;
    if (from && this.askers.size < MAX_ASKERS) this.askers.add(from.address);
    if (!founders) return makeUndecidedReply(self, seeds.length > 0);
    return {
      self, founded: true, founders: [...founders], leaderAddress: '',
    };
  }

  /** Resolves with the initial voters of the site; empty if this replica joins an existing site. */
  async waitForFounders(): Promise<readonly Replica[]> {
    const { identity } = this.parts;
    if (identity.founders) return identity.founders;
    const founders = await this.poll();
    await identity.saveFounders(founders);
    return founders;
  }

  /** Asks until the founders are known. It may take as long as no other replica runs. */
  private poll(): Promise<readonly Replica[]> {
    return new Promise((resolve, reject) => {
      const ask = (): void => {
        this.askAll().then((founders) => {
          if (founders) resolve(founders);
          else setTimeout(ask, POLL_MS);
        }).catch(reject);
      };
      ask();
    });
  }

  /** Asks all known addresses once; resolves with the founders if they are known then. */
  private async askAll(): Promise<readonly Replica[] | undefined> {
    const { self, identity: { seeds }, maxDiskLosses } = this.parts;
    const replies = await this.collectReplies();
    const plan = planFounding({
      self, seeds, replies, previous: this.candidates, maxDiskLosses,
    });
    if (plan.kind === 'found') return plan.founders;
    if (plan.kind === 'join') return [];
    this.candidates = plan.candidates;
    this.logWait(replies);
    return undefined;
  }

  private async collectReplies(): Promise<ReadonlyMap<string, MeetReply>> {
    const answers = await Promise.all(this.listAddresses().map(async (address) => ({
      address, reply: await this.parts.askReplica(address),
    })));
    return new Map(answers.flatMap(({ address, reply }) => (
      reply ? [[address, reply] as const] : [])));
  }

  private listAddresses(): string[] {
    const { identity: { seeds }, readSeeds, self } = this.parts;
    const addresses = new Set([...seeds, ...readSeeds(), ...this.askers]);
    addresses.delete(self.address);
    return [...addresses];
  }

  /** Logs what this replica waits for, whenever that changes. */
  private logWait(replies: ReadonlyMap<string, MeetReply>): void {
    const answered = [...replies].map(([address, { founded }]) => (
      `${address} ${founded ? 'joins a site' : 'knows no site'}`)).sort().join(', ');
    if (answered === this.loggedWait) return;
    this.loggedWait = answered;
    this.parts.logger.info('looking for the site', {
      birth: this.parts.self.id, isFounder: this.parts.identity.seeds.length > 0, answered,
    });
  }
}
