import type {
  HeartbeatReply, HolderSet, Member,
} from '../../protocol/generated/beechlift';
import type { Manifest } from '../../manifest/manifest';
import { applyChanges, computeDigest } from '../../manifest/manifestDelta';
import type { Clock } from '../../utils/clock';

/** Callbacks for a newer manifest or view that is now in force in this process. */
export interface ConfigurationListener {
  readonly onManifestChange: (manifest: Manifest) => void;
  readonly onMembersChange: (members: readonly Member[], viewNumber: number) => void;
}

/**
 * The accepted configuration as far as this entry has received it, and the lease to use it.
 *
 * Prevents serving an outdated configuration after the site accepted a newer one: without a valid
 * lease the entry accepts no new work. Versions only increase, so that a delayed reply or an
 * outdated peer cannot restore an older configuration.
 *
 * @example
 * const configuration = new Configuration(systemClock);
 * configuration.applyReply(reply, sentAt);
 * if (!configuration.isServing) throw new BeechliftError('configurationStale', message);
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

  /** Version of the manifest in force; 0 before the first one. */
  get version(): number {
    return this.manifest?.version ?? 0;
  }

  /** Remaining time of the lease, in milliseconds. */
  get leaseMs(): number {
    return Math.max(0, this.leaseExpiresAt - this.clock.now());
  }

  /** Whether new work may be accepted. */
  get isServing(): boolean {
    return this.manifest !== undefined && this.leaseMs > 0;
  }

  /** Adds a listener. */
  addListener(listener: ConfigurationListener): void {
    this.listeners.push(listener);
  }

  /**
   * Applies a reply of control, or the proof of a peer.
   *
   * @param sentAt when the request was sent, in monotonic milliseconds; the lease starts there
   * @returns whether the whole reply was applied
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

  /** Builds the proof for a peer: this entry's configuration and the rest of its lease. */
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
     * Prevents applying a delta to the wrong base: a manifest comes into force only when its digest
     * is the one that the quorum accepted. Otherwise the next heartbeat requests the full manifest.
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
