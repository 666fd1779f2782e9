import { WatchReply as WatchReplyCodec } from '../protocol/generated/beechlift';
import type { WatchReply, WatchRequest } from '../protocol/generated/beechlift';
import type { SiteDocument } from '../core/routing/siteDocument';
import type { HeldCalls } from '../utils/heldCalls';
import { LoopTurns } from '../utils/loopTurns';
import { DocumentPacker, NO_DOCUMENT_PART } from './documentPacker';
import type { EntryPart, LeaderState } from './leaderState';
import type { LeaderWait } from './leaderWait';
import type { RecoveryWindow } from './recoveryWindow';
import type { SuspectRegistry } from './suspectRegistry';
import type { WorkerRegistry } from './workerRegistry';
import type { WorkMeter } from './workMeter';

/** Longest that a question is held, in milliseconds. */
const MAX_HOLD_MS = 1_000;

/** What a replica that follows is told in place of loads and loans. */
const NO_ENTRY_PART: EntryPart = { loads: [], grants: [], entryCount: 0 };

/** What the replica knows at the moment of an answer. */
export interface ReplicaView {
  /** Whether this replica leads and no other can at this moment. */
  readonly isLeading: boolean;
  /** gRPC address of another replica that is known to lead; empty when there is none. */
  readonly otherLeader: string;
  /** gRPC addresses of all replicas of the site. */
  readonly replicaAddresses: readonly string[];
  readonly site: SiteDocument;
  readonly leaderState: LeaderState;
}

/** What the desk needs. */
export interface WatchServiceParts {
  readonly readView: () => ReplicaView;
  readonly registry: WorkerRegistry;
  readonly suspects: SuspectRegistry;
  readonly recall: RecoveryWindow;
  readonly watches: HeldCalls;
  readonly leaderWait: LeaderWait;
  readonly work: WorkMeter;
  /** gRPC address of this replica. */
  readonly address: string;
  /** How long an entry may rely on what it was told, in milliseconds. */
  readonly leaseMs: number;
}

/**
 * Where entries, and replicas that follow, ask the leader all the time. A question is held until
 * there is news; its answer renews the lease of an entry.
 *
 * @example
 * const reply = await desk.watch(request);
 */
export class WatchService {
  private readonly packer = new DocumentPacker();

  private readonly turns = new LoopTurns();

  constructor(private readonly parts: WatchServiceParts) {}

  /** Answers a question; a replica that does not lead names the one that does. */
  async watch(request: WatchRequest): Promise<WatchReply> {
    const { readView, watches, work } = this.parts;
    const view = readView();
    if (!view.isLeading) return this.awaitLeader(request);
    if (request.entryId === '') {
      this.recoverRecords(request);
    } else {
      work.measure('watch', () => view.leaderState.recordEntry(request));
      await this.awaitRecovery();
    }
    if (!this.hasUpdates(request)) await watches.hold(Math.min(MAX_HOLD_MS, request.holdMs));
    // All entries are answered at a change, and all ask a new leader: its heartbeats go in between.
    await this.turns.wait();
    if (!readView().isLeading) return this.buildNotLeadingReply();
    return work.measure('watch', () => this.buildReply(request));
  }

  /** Takes in what a replica that follows remembered over a restart. */
  private recoverRecords({ rememberedWorkers, rememberedSuspects }: WatchRequest): void {
    const { registry, suspects, recall } = this.parts;
    if (!recall.isOpen) return;
    registry.recover(rememberedWorkers);
    suspects.recover(rememberedSuspects);
  }

  /*
   * Guards entries against a leader that knows no backend server after a restart: they would refuse
   * all requests, while another replica is about to tell the servers that it remembers.
   */
  private async awaitRecovery(): Promise<void> {
    const { registry, recall, watches } = this.parts;
    const { holdMs } = recall;
    if (holdMs === 0 || registry.table.workers.size > 0) return;
    await watches.hold(holdMs);
    await this.awaitRecovery();
  }

  /** Holds a question while no leader is known, so that who asks learns of one at once. */
  private async awaitLeader(request: WatchRequest): Promise<WatchReply> {
    const { readView, leaderWait } = this.parts;
    await leaderWait.wait(Math.min(MAX_HOLD_MS, request.holdMs));
    return readView().isLeading ? this.watch({ ...request, holdMs: 0 }) : this.buildNotLeadingReply();
  }

  private hasUpdates(request: WatchRequest): boolean {
    const { readView, registry, suspects } = this.parts;
    return request.documentDigest !== readView().site.digest
      || registry.hasUpdates(request)
      || suspects.hasUpdates(request, registry.table.epoch);
  }

  private buildNotLeadingReply(): WatchReply {
    const { otherLeader: otherLeaderAddress, replicaAddresses } = this.parts.readView();
    return WatchReplyCodec.fromPartial({
      leaderAddress: otherLeaderAddress, controlAddresses: [...replicaAddresses],
    });
  }

  private buildReply(request: WatchRequest): WatchReply {
    const {
      readView, registry, suspects, leaseMs,
    } = this.parts;
    const { site, leaderState: leaderState, replicaAddresses } = readView();
    const isEntry = request.entryId !== '';
    return {
      ...(isEntry ? leaderState.buildEntryPart(request) : NO_ENTRY_PART),
      ...leaderState.buildEntryListPart(request, registry.table.epoch),
      leaseMs,
      leaderAddress: this.parts.address,
      controlAddresses: [...replicaAddresses],
      documentDigest: site.digest,
      documentVersion: site.version,
      // A replica that follows has the document from the log.
      ...(isEntry && request.documentDigest !== site.digest
        ? this.packer.build(site)
        : NO_DOCUMENT_PART),
      ...registry.buildPart(request),
      ...suspects.buildPart(request, registry.table.epoch),
    };
  }
}
