import { ControlClient, PeerClient } from '../protocol/generated/beechlift';
import type {
  HeartbeatReply, HeartbeatRequest, Member, ProofRequest,
} from '../protocol/generated/beechlift';
import type { Clock } from '../utils/clock';
import { Operation } from '../utils/operation';
import type { LinkTable } from '../wire/linkTable';
import type { Configuration } from './configuration';

const CALL_TIMEOUT_MS = 400;
/** A lease with less left than this is renewed through peers when control does not answer. */
const LOW_LEASE_MS = 2_000;
const MAX_PEERS_ASKED = 3;

/** What the heartbeat needs. */
export interface HeartbeatParts {
  readonly configuration: Configuration;
  readonly controlAddresses: readonly string[];
  readonly control: LinkTable<ControlClient>;
  readonly peers: LinkTable<PeerClient>;
  readonly readMember: () => Member;
  readonly clock: Clock;
}

/**
 * Keeps an entry known to the control leader and its configuration lease alive.
 *
 * @example
 * const heartbeat = new Heartbeat(parts);
 * await heartbeat.beat();
 */
export class Heartbeat {
  private leaderAddress: string;

  private turn = 0;

  constructor(private readonly parts: HeartbeatParts) {
    this.leaderAddress = parts.controlAddresses[0] ?? '';
  }

  /**
   * Sends one heartbeat; falls back to the other replicas, then to peers. Returns whether a lease
   * came.
   */
  async beat(): Promise<boolean> {
    const renewed = await this.askControl(this.leaderAddress) || await this.askNextReplica();
    if (renewed) return true;
    if (this.parts.configuration.leaseMs > LOW_LEASE_MS) return false;
    return this.askPeers();
  }

  private buildRequest(): HeartbeatRequest {
    const { configuration, readMember } = this.parts;
    return {
      member: readMember(),
      manifestVersion: configuration.version,
      manifestDigest: configuration.digest,
      viewNumber: configuration.viewNumber,
    };
  }

  private async askControl(address: string): Promise<boolean> {
    const { configuration, control, clock } = this.parts;
    const sentAt = clock.now();
    try {
      const reply = await control.find(address).call<HeartbeatRequest, HeartbeatReply>(
        (stub) => stub.heartbeat.bind(stub),
        this.buildRequest(),
        new Operation({ timeoutMs: CALL_TIMEOUT_MS }),
      );
      this.noteLeader(address, reply);
      return configuration.applyReply(reply, sentAt);
    } catch {
      return false;
    }
  }

  private noteLeader(asked: string, reply: HeartbeatReply): void {
    if (reply.leaseMs > 0) this.leaderAddress = asked;
    else if (reply.leaderAddress !== '') this.leaderAddress = reply.leaderAddress;
  }

  /** The next replica in turn, which may lead itself or name the leader. */
  private async askNextReplica(): Promise<boolean> {
    const { controlAddresses } = this.parts;
    this.turn += 1;
    const address = controlAddresses[this.turn % controlAddresses.length] ?? '';
    const named = this.leaderAddress;
    if (await this.askControl(address)) return true;
    return this.leaderAddress === named ? false : this.askControl(this.leaderAddress);
  }

  /*
   * Guards an entry that is cut off from control but not from its peers: a peer's lease proves as
   * much, for as long as that lease lasts. It counts from before this entry asked, so it never
   * outlives the peer's own.
   */
  private async askPeers(): Promise<boolean> {
    const { configuration, readMember } = this.parts;
    const own = readMember().id;
    const others = configuration.members.filter(({ id }) => id !== own);
    const start = this.turn % Math.max(1, others.length);
    const asked = [...others.slice(start), ...others.slice(0, start)].slice(0, MAX_PEERS_ASKED);
    const results = await Promise.all(asked.map(({ peerAddress }) => this.askPeer(peerAddress)));
    return results.includes(true);
  }

  private async askPeer(address: string): Promise<boolean> {
    const { configuration, peers, clock } = this.parts;
    const sentAt = clock.now();
    try {
      const reply = await peers.find(address).call<ProofRequest, HeartbeatReply>(
        (stub) => stub.readProof.bind(stub),
        {
          manifestVersion: configuration.version,
          manifestDigest: configuration.digest,
          viewNumber: configuration.viewNumber,
        },
        new Operation({ timeoutMs: CALL_TIMEOUT_MS }),
      );
      return configuration.applyReply(reply, sentAt);
    } catch {
      return false;
    }
  }
}
