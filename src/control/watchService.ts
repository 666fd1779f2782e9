import { WatchReply as WatchReplyCodec } from '../protocol/generated/beechlift';
import type { WatchReply, WatchRequest } from '../protocol/generated/beechlift';
import { NO_REVISION } from '../core/routing/listVersion';
import { formatOriginRecord } from '../core/routing/originRecords';
import type { SiteDocument } from '../core/routing/siteDocument';
import type { StreamOrigins } from '../core/routing/streamOrigins';
import { countByStanding, hasMixedService } from '../core/routing/workerTable';
import type { Clock } from '../utils/clock';
import type { HeldCalls } from '../utils/heldCalls';
import { ImmediateQueue } from '../utils/immediateQueue';
import { DocumentPacker, NO_DOCUMENT_PART } from './documentPacker';
import type { DelegatePart, EntryPart, LeaderState } from './leaderState';
import type { LeaderWait } from './leaderWait';
import type { RecoveryWindow } from './recoveryWindow';
import type { SuspectRegistry } from './suspectRegistry';
import type { WorkerRegistry } from './workerRegistry';
import type { WorkMeter } from './workMeter';

/** Longest time that a watch request is held, in milliseconds. */
const MAX_HOLD_MS = 1_000;

/** Interval at which followers get new origins of streams, in milliseconds. */
const ORIGIN_INTERVAL_MS = 50;

/**
 * How long a held request waits for this leader to regain its lease, in milliseconds: less than the
 * time that an entry waits for a late reply.
 */
const LEASE_WAIT_MS = 200;

/** Sent to followers that grant no slots, which need neither loads nor grants. */
const NO_ENTRY_PART: EntryPart = {
  loadList: Buffer.alloc(0), grants: [], entryCount: 0, limits: [],
};

/** Fields of a watch reply on streams, for followers. */
type OriginPart = Pick<WatchReply, 'origins' | 'originsRevision'>;

/** Sent to entries, which ask for one origin at a time. */
const NO_ORIGIN_PART: OriginPart = { origins: [], originsRevision: NO_REVISION };

/** Reads which revision of the stream origins a follower holds from the leader of an epoch. */
const readOriginsRevision = (
  { workersEpoch, originsRevision }: WatchRequest,
  epoch: string,
): number => (workersEpoch === epoch ? originsRevision : NO_REVISION);

/** State of this replica that a reply depends on. */
export interface ReplicaView {
  /** Whether this replica leads and holds the lease, so that no other replica can lead. */
  readonly isLeading: boolean;
  /** gRPC address of another replica that leads; empty if none is known. */
  readonly otherLeaderAddress: string;
  /** gRPC addresses of all replicas of the site. */
  readonly replicaAddresses: readonly string[];
  readonly site: SiteDocument;
  readonly leaderState: LeaderState;
}

/** Dependencies of the watch service. */
export interface WatchServiceParts {
  readonly readView: () => ReplicaView;
  readonly registry: WorkerRegistry;
  readonly suspects: SuspectRegistry;
  readonly origins: StreamOrigins;
  readonly recoveryWindow: RecoveryWindow;
  readonly watches: HeldCalls;
  readonly leaderWait: LeaderWait;
  readonly work: WorkMeter;
  readonly clock: Clock;
  /** gRPC address of this replica. */
  readonly address: string;
  /** Duration of the lease that a reply grants to an entry, in milliseconds. */
  readonly leaseMs: number;
}

/**
 * Answers the watch requests (long polls) of entries and followers. A request is held until there
 * is an update; the reply renews the lease of an entry.
 *
 * @example
 * const reply = await watchService.watch(request);
 */
export class WatchService {
  private readonly packer = new DocumentPacker();

  private readonly turns = new ImmediateQueue();

  constructor(private readonly parts: WatchServiceParts) {}

  /**
   * Answers a watch request; a replica that does not lead returns the address of the leader.
   *
   * @param isAbandoned returns whether the client has given the request up
   * @param receivedAt when the request was received, monotonic milliseconds
   */
  async watch(
    request: WatchRequest,
    isAbandoned = (): boolean => false,
    receivedAt = this.parts.clock.now(),
  ): Promise<WatchReply> {
    const {
      readView, watches, leaderWait, work, clock, registry,
    } = this.parts;
    const view = readView();
    if (!view.isLeading) return this.awaitLeader(request, isAbandoned, receivedAt);
    if (request.entryId === '') {
      this.recoverRecords(request);
      work.measure('watch', () => view.leaderState.recordDelegate(request));
    } else {
      work.measure('watch', () => (
        view.leaderState.recordEntry(request, registry.table.epoch, receivedAt)));
      await this.awaitRecovery();
    }
    const holdMs = Math.min(MAX_HOLD_MS, request.holdMs);
    if (!this.hasUpdates(request)) {
      await (request.entryId === '' ? this.holdFollower(request, holdMs) : watches.hold(holdMs));
    }
    // A change answers the requests of all entries at once, and a new leader gets requests of all
    // entries at once: yielding between replies lets the log send its heartbeats.
    // Followers are few, and what they grant for the leader must not wait behind all entries.
    const dueAt = clock.now();
    if (request.entryId !== '') await this.turns.wait();
    const isUnread = isAbandoned();
    work.recordWatchTurn(clock.now() - dueAt, isUnread);
    if (isUnread) return WatchReplyCodec.fromPartial({});
    if (!readView().isLeading) await leaderWait.wait(LEASE_WAIT_MS);
    if (!readView().isLeading) return this.buildNotLeadingReply();
    return work.measure('watch', () => this.buildReply(request));
  }

  /** Applies the records that a follower cached across a restart. */
  private recoverRecords({ rememberedWorkers, rememberedSuspects }: WatchRequest): void {
    const { registry, suspects, recoveryWindow } = this.parts;
    if (!recoveryWindow.isOpen) return;
    registry.recover(rememberedWorkers);
    suspects.recover(rememberedSuspects);
  }

  /*
   * After a restart, a leader may have no ready servers while another replica is about to report
   * its cached ones. Entries wait for these; without any they would refuse all requests.
   */
  private async awaitRecovery(): Promise<void> {
    const { registry, recoveryWindow, watches } = this.parts;
    const { holdMs } = recoveryWindow;
    if (holdMs === 0 || countByStanding(registry.table).has('ready')) return;
    await watches.hold(holdMs);
    await this.awaitRecovery();
  }

  /** Holds a request while no leader is known, so that the client gets its address at once. */
  private async awaitLeader(
    request: WatchRequest,
    isAbandoned: () => boolean,
    receivedAt: number,
  ): Promise<WatchReply> {
    const { readView, leaderWait } = this.parts;
    await leaderWait.wait(Math.min(MAX_HOLD_MS, request.holdMs));
    return readView().isLeading
      ? this.watch({ ...request, holdMs: 0 }, isAbandoned, receivedAt)
      : this.buildNotLeadingReply();
  }

  /*
   * Followers get new origins of streams soon: if the leader ends together with the entry that
   * began a stream, they alone know its version.
   */
  private async holdFollower(request: WatchRequest, holdMs: number): Promise<void> {
    const stepMs = Math.min(ORIGIN_INTERVAL_MS, holdMs);
    await this.parts.watches.hold(stepMs);
    const isDue = stepMs >= holdMs || this.hasUpdates(request) || this.hasNewOrigins(request);
    if (!isDue) await this.holdFollower(request, holdMs - stepMs);
  }

  /** Whether a follower lacks origins; they matter while the versions of a service differ. */
  private hasNewOrigins(request: WatchRequest): boolean {
    const { origins, registry: { table } } = this.parts;
    const isNew = origins.revision > readOriginsRevision(request, table.epoch);
    return isNew && hasMixedService(table);
  }

  private hasUpdates(request: WatchRequest): boolean {
    const { readView, registry, suspects } = this.parts;
    return request.documentDigest !== readView().site.digest
      || registry.hasUpdates(request)
      || suspects.hasUpdates(request, registry.table.epoch);
  }

  private buildNotLeadingReply(): WatchReply {
    const { otherLeaderAddress, replicaAddresses } = this.parts.readView();
    return WatchReplyCodec.fromPartial({
      leaderAddress: otherLeaderAddress, controlAddresses: [...replicaAddresses],
    });
  }

  private buildReply(request: WatchRequest): WatchReply {
    const {
      readView, registry, suspects, leaseMs,
    } = this.parts;
    const { site, leaderState, replicaAddresses } = readView();
    const isEntry = request.entryId !== '';
    return {
      ...this.buildOwnPart(request),
      ...leaderState.buildEntryListPart(request, registry.table.epoch),
      leaseMs,
      leaderAddress: this.parts.address,
      controlAddresses: [...replicaAddresses],
      documentDigest: site.digest,
      documentVersion: String(site.version),
      // Followers get the document from the log.
      ...(isEntry && request.documentDigest !== site.digest
        ? this.packer.build(site)
        : NO_DOCUMENT_PART),
      ...registry.buildPart(request),
      ...suspects.buildPart(request, registry.table.epoch),
      ...(isEntry ? NO_ORIGIN_PART : this.buildOriginPart(request)),
    };
  }

  /** Builds the part on loads and limits for an entry, or for a follower that grants slots. */
  private buildOwnPart(request: WatchRequest): EntryPart | DelegatePart {
    const { leaderState } = this.parts.readView();
    if (request.entryId !== '') return leaderState.buildEntryPart(request);
    const { delegate } = request;
    return delegate ? leaderState.buildDelegatePart(delegate.replicaId) : NO_ENTRY_PART;
  }

  /** Builds the part with the origins of streams that a follower does not have yet. */
  private buildOriginPart(request: WatchRequest): OriginPart {
    const { registry, origins, clock } = this.parts;
    const heldRevision = readOriginsRevision(request, registry.table.epoch);
    const { records, revision } = origins.listChanged(heldRevision);
    const now = clock.now();
    return {
      origins: records.map((record) => formatOriginRecord(record, now)),
      originsRevision: revision,
    };
  }
}
