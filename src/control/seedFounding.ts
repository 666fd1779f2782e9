import { isWordOfSite } from '../core/log/foundingPlan';
import { FoundingRounds } from '../core/log/foundingRounds';
import { BeechliftError } from '../errors/beechliftError';
import type { MeetReply, MeetRequest, Replica } from '../protocol/generated/beechlift';
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
  /** Asks another replica what it knows of a site; undefined if it does not answer. */
  readonly askReplica: (address: string, request: MeetRequest) => Promise<MeetReply | undefined>;
  /** Receives each replica that answered. */
  readonly recordReplica: (replica: Replica) => void;
  readonly logger: Logger;
}

/**
 * Determines the initial voters of a replica: all founders if the site starts for the first time,
 * or none if the replica joins an existing site.
 *
 * This prevents two separate sites from forming: `FoundingRounds` decides. A replica whose disk was
 * lost has an identity that is not in the list of founders, and joins the site as a new replica.
 *
 * @example
 * const founders = await new SeedFounding(parts).waitForFounders(); // empty: it joins
 */
export class SeedFounding {
  private readonly rounds: FoundingRounds;

  /** A founder may be missing in the settings of the replica that it asks. */
  private readonly askers = new Set<string>();

  private loggedWait: string | undefined;

  constructor(private readonly parts: SeedFoundingParts) {
    this.rounds = new FoundingRounds(parts.self, parts.identity.seeds);
  }

  /** Answers another replica that looks for the site, until this one takes part in it. */
  answer(request: MeetRequest): MeetReply {
    const { identity: { founders }, self } = this.parts;
    const address = request.from?.address;
    if (address !== undefined && this.askers.size < MAX_ASKERS) this.askers.add(address);
    if (founders) {
      return {
        self, founded: true, founders: [...founders], leaderAddress: '',
      };
    }
    const reply = this.rounds.answer(request);
    if (!reply) throw new BeechliftError('starting', 'this replica is storing the founders of the site; ask again');
    return reply;
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
    const replies = await this.collectReplies(this.rounds.begin());
    const plan = this.rounds.end(replies);
    if (plan.kind === 'found') return plan.founders;
    if (plan.kind === 'join') return [];
    this.logWait(replies);
    return undefined;
  }

  /**
   * Resolves with the replies by address, as soon as one of them tells of a site: the others may
   * be of replicas that are down, and a replica whose disk was lost is needed.
   */
  private collectReplies(request: MeetRequest): Promise<ReadonlyMap<string, MeetReply>> {
    const replies = new Map<string, MeetReply>();
    return new Promise((resolve, reject) => {
      const ask = async (address: string): Promise<void> => {
        const reply = await this.parts.askReplica(address, request);
        if (!reply) return;
        if (reply.self) this.parts.recordReplica(reply.self);
        replies.set(address, reply);
        if (isWordOfSite(reply)) resolve(new Map(replies));
      };
      Promise.all(this.listAddresses().map(ask)).then(() => resolve(replies)).catch(reject);
    });
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
