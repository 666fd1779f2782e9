import type {
  HeartbeatReply, HolderSet, Member,
} from '../../protocol/generated/beechlift';
import type { Manifest } from '../../manifest/manifest';
import { applyChanges, computeDigest } from '../../manifest/manifestDelta';
import type { Clock } from '../../utils/clock';

/** Called when a newer manifest or view is in force here. */
export interface ConfigurationListener {
  readonly onManifestChange: (manifest: Manifest) => void;
  readonly onMembersChange: (members: readonly Member[], viewNumber: number) => void;
}

/**
 * What an entry knows of the accepted configuration, and until when it may rely on it.
 *
 * Guards against serving on an older configuration while the site has accepted a newer one: without
 * a lease that was asked for recently enough, the entry takes no new work. Versions only go up, so
 * that a reply which was delayed, or a peer that lags, reverts nothing.
 *
 * @example
 * const configuration = new Configuration(systemClock);
 * configuration.applyReply(reply, sentAt);
 * if (!configuration.isServing) refuse('configurationStale');
 */
export class Configuration {
  manifest: Manifest | undefined;

  digest = '';

  members: readonly Member[] = [];

  viewNumber = 0;

  holders: HolderSet = { number: 0, current: [], previous: [] };

  private leaseExpiresAt = 0;

  private readonly listeners: ConfigurationListener[] = [];

  constructor(private readonly clock: Clock) {}

  /** Version in force here; 0 before the first. */
  get version(): number {
    return this.manifest?.version ?? 0;
  }

  /** Milliseconds that the lease still lasts. */
  get leaseMs(): number {
    return Math.max(0, this.leaseExpiresAt - this.clock.now());
  }

  /** Whether new work may be taken. */
  get isServing(): boolean {
    return this.manifest !== undefined && this.leaseMs > 0;
  }

  /** Adds a listener. */
  addListener(listener: ConfigurationListener): void {
    this.listeners.push(listener);
  }

  /**
   * Takes in a reply of control, or the proof of a peer.
   *
   * @param sentAt when the request left, monotonic milliseconds: the lease counts from there
   * @returns whether all of it could be applied
   */
  applyReply(reply: HeartbeatReply, sentAt: number): boolean {
    if (reply.leaseMs <= 0 || reply.manifestVersion < this.version) return false;
    const applied = this.applyManifest(reply);
    if (!applied) return false;
    this.applyView(reply);
    if (reply.holders && reply.holders.number >= this.holders.number) this.holders = reply.holders;
    this.leaseExpiresAt = Math.max(this.leaseExpiresAt, sentAt + reply.leaseMs);
    return true;
  }

  /** What a peer may take as proof: the own configuration and what is left of the lease. */
  buildProof(knownDigest: string, knownView: number): HeartbeatReply {
    return {
      leaderAddress: '',
      leaseMs: this.isServing ? Math.floor(this.leaseMs) : 0,
      manifestVersion: this.version,
      manifestDigest: this.digest,
      manifest: knownDigest === this.digest ? '' : JSON.stringify(this.manifest),
      delta: undefined,
      view: knownView === this.viewNumber
        ? undefined
        : { number: this.viewNumber, members: [...this.members] },
      viewNumber: this.viewNumber,
      holders: this.holders,
    };
  }

  private applyManifest(reply: HeartbeatReply): boolean {
    if (reply.manifestVersion === 0 || reply.manifestDigest === this.digest) return true;
    const next = this.readManifest(reply);
    /*
     * Guards against a delta on a base that is not the one it was made for: only the digest that
     * the quorum accepted comes into force; otherwise the whole manifest is asked for next.
     */
    if (!next || computeDigest(next) !== reply.manifestDigest) {
      this.digest = '';
      return false;
    }
    this.manifest = next;
    this.digest = reply.manifestDigest;
    this.listeners.forEach((listener) => listener.onManifestChange(next));
    return true;
  }

  private readManifest(reply: HeartbeatReply): Manifest | undefined {
    if (reply.manifest !== '') return JSON.parse(reply.manifest) as Manifest;
    if (!reply.delta || !this.manifest) return undefined;
    return applyChanges(this.manifest, reply.delta.changes);
  }

  private applyView({ view }: HeartbeatReply): void {
    if (!view || view.number <= this.viewNumber) return;
    this.viewNumber = view.number;
    this.members = view.members;
    this.listeners.forEach((listener) => listener.onMembersChange(view.members, view.number));
  }
}
