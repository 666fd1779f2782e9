import { ControlClient, PeerClient } from '../../protocol/generated/beechlift';
import type {
  HeartbeatReply, HeartbeatRequest, Member, ProofRequest,
} from '../../protocol/generated/beechlift';
import type { Clock } from '../../utils/clock';
import { Operation } from '../../utils/operation';
import type { LinkTable } from '../../wire/linkTable';
import type { Configuration } from './configuration';

const CALL_TIMEOUT_MS = 400;
const MAX_CALL_TIMEOUT_MS = 3_200;
/** Below this remaining lease time, peers are asked if control does not answer. */
const LOW_LEASE_MS = 2_000;
const MAX_PEERS_PER_RENEWAL = 3;

/** Dependencies of the heartbeat. */
export interface HeartbeatParts {
  readonly configuration: Configuration;
  readonly controlAddresses: readonly string[];
  readonly control: LinkTable<ControlClient>;
  readonly peers: LinkTable<PeerClient>;
  readonly readMember: () => Member;
  readonly clock: Clock;
}

/**
 * Reports an entry to the control leader and renews its configuration lease.
 *
 * @example
 * const heartbeat = new Heartbeat(parts);
 * await heartbeat.send();
 */
export class Heartbeat {
  private leaderAddress: string;

  private rotation = 0;

  private timeoutMs = CALL_TIMEOUT_MS;

  private inFlight: Promise<boolean> | undefined;

  constructor(private readonly parts: HeartbeatParts) {
    this.leaderAddress = parts.controlAddresses[0] ?? '';
  }

  /** Sends a heartbeat, or joins the one in flight; returns whether the lease was renewed. */
  send(): Promise<boolean> {
    this.inFlight ??= this.renewLease().finally(() => {
      this.inFlight = undefined;
    });
    return this.inFlight;
  }

  /** Sends a heartbeat with the latest state, after the one that may be in flight. */
  async sendLatestState(): Promise<boolean> {
    await this.inFlight;
    return this.send();
  }

  /** Tries the leader first, then another replica, then peers. */
  private async renewLease(): Promise<boolean> {
    const renewed = await this.renewFromControl(this.leaderAddress)
      || await this.renewFromNextReplica();
    this.updateTimeout(renewed);
    if (renewed) return true;
    if (this.parts.configuration.leaseMs > LOW_LEASE_MS) return false;
    return this.renewFromPeers();
  }

  /*
   * A full manifest with thousands of accounts does not arrive within the timeout of an ordinary
   * heartbeat. Without a longer timeout, every further attempt would fail as well.
   */
  private updateTimeout(renewed: boolean): void {
    this.timeoutMs = renewed
      ? CALL_TIMEOUT_MS
      : Math.min(MAX_CALL_TIMEOUT_MS, this.timeoutMs * 2);
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

  private async renewFromControl(address: string): Promise<boolean> {
    const { configuration, control, clock } = this.parts;
    const sentAt = clock.now();
    try {
      const reply = await control.find(address).call<HeartbeatRequest, HeartbeatReply>(
        (stub) => stub.heartbeat.bind(stub),
        this.buildRequest(),
        new Operation({ timeoutMs: this.timeoutMs }),
      );
      this.updateLeader(address, reply);
      return configuration.applyReply(reply, sentAt);
    } catch {
      return false;
    }
  }

  private updateLeader(address: string, reply: HeartbeatReply): void {
    if (reply.leaseMs > 0) this.leaderAddress = address;
    else if (reply.leaderAddress !== '') this.leaderAddress = reply.leaderAddress;
  }

  /** Tries the next replica in rotation, which may be the leader or return its address. */
  private async renewFromNextReplica(): Promise<boolean> {
    const { controlAddresses } = this.parts;
    this.rotation += 1;
    const address = controlAddresses[this.rotation % controlAddresses.length] ?? '';
    const previousLeader = this.leaderAddress;
    if (await this.renewFromControl(address)) return true;
    return this.leaderAddress === previousLeader
      ? false
      : this.renewFromControl(this.leaderAddress);
  }

  /*
   * Keeps an entry serving that cannot reach control but can reach its peers: the lease of a peer
   * is as valid a proof, for the rest of that lease. The time starts before the request is sent, so
   * the lease never lasts longer than the peer's.
   */
  private async renewFromPeers(): Promise<boolean> {
    const { configuration, readMember } = this.parts;
    const ownId = readMember().id;
    const others = configuration.members.filter(({ id }) => id !== ownId);
    const start = this.rotation % Math.max(1, others.length);
    const selectedPeers = [...others.slice(start), ...others.slice(0, start)]
      .slice(0, MAX_PEERS_PER_RENEWAL);
    const results = await Promise.all(
      selectedPeers.map(({ peerAddress }) => this.renewFromPeer(peerAddress)),
    );
    return results.includes(true);
  }

  private async renewFromPeer(address: string): Promise<boolean> {
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
        new Operation({ timeoutMs: this.timeoutMs }),
      );
      return configuration.applyReply(reply, sentAt);
    } catch {
      return false;
    }
  }
}
