import type {
  AnnounceReply, ConfirmReply, EntryRecord, LogMessage, MeetReply, MeetRequest,
  PublishReply, PublishRequest, Replica, WatchReply, WatchRequest, WorkerAnnouncement,
} from '../protocol/generated/beechlift';
import type { LogRole, Snapshot } from '../core/log/logTypes';
import { applyDocument, parseSiteDocument } from '../core/routing/siteDocument';
import type { SiteDocument } from '../core/routing/siteDocument';
import { countByStanding } from '../core/routing/workerTable';
import type { WorkerStanding } from '../core/routing/workerTable';
import { BeechliftError } from '../errors/beechliftError';
import { computeSha256 } from '../utils/canonicalJson';
import { HeldCalls } from '../utils/heldCalls';
import { AnnouncementService } from './announcementService';
import { AnnouncementValidator } from './announcementValidator';
import { decodeCommand } from './documentCommand';
import { DocumentPublisher } from './documentPublisher';
import { SoftState } from './softState';
import { LeaderState } from './leaderState';
import { LeaderWait } from './leaderWait';
import { LogRunner } from './logRunner';
import type { PlacementMessageHandlers, PlacementSink } from './placementStream';
import { ReadBarrier } from './readBarrier';
import { ReplicaDirectory } from './replicaDirectory';
import { ReplicaSetManager } from './replicaSetManager';
import type { RoutedNodeParts } from './routedNodeParts';
import type { SuspectRegistry } from './suspectRegistry';
import { WatchService } from './watchService';
import type { ReplicaView } from './watchService';
import { WorkMeter } from './workMeter';

/** How often the log looks at its timers, in milliseconds. */
export const TICK_MS = 25;
/** Silence of the leader after which a replica looks for the site, in milliseconds. */
const LOST_CONTACT_MS = 1_000;

/**
 * One replica that serves control of a routed site: the replicated routing document, the backend
 * servers that announced themselves, and the entries that watch. It knows nothing of the wire.
 *
 * @example
 * const node = new RoutedNode(parts);
 * setInterval(() => node.tick(), TICK_MS);
 */
export class RoutedNode {
  readonly runner: LogRunner<true>;

  site: SiteDocument;

  private readonly softState: SoftState;

  /** Keeps out announcements that no backend server of this site sends. */
  readonly announcementValidator: AnnouncementValidator;

  private readonly announcementService: AnnouncementService;

  private readonly watchService: WatchService;

  private leaderState: LeaderState;

  private readonly watches = new HeldCalls();

  private readonly leaderWait: LeaderWait;

  private readonly replicaSetManager: ReplicaSetManager;

  private readonly readBarrier: ReadBarrier;

  private readonly publisher: DocumentPublisher;

  private readonly directory: ReplicaDirectory;

  private suspensionEpoch: number;

  /** What this replica works on. */
  readonly work: WorkMeter;

  constructor(private readonly parts: RoutedNodeParts) {
    this.site = parseSiteDocument(parts.stored.snapshot.data);
    this.work = new WorkMeter(parts.clock, parts.logger, TICK_MS);
    const countEntries = () => this.leaderState.countEntries();
    this.softState = new SoftState({ ...parts, watches: this.watches, countEntries });
    const { registry, suspects, recoveryWindow: recoveryWindow } = this.softState;
    this.leaderState = this.makeLeaderState();
    this.replicaSetManager = new ReplicaSetManager(parts.voterCount, parts.clock, parts.logger);
    this.leaderWait = new LeaderWait(() => this.isLeading || this.isOtherLeaderKnown);
    this.announcementValidator = new AnnouncementValidator({
      ...parts, readSite: () => this.site, readTable: () => registry.table,
    });
    const serviceParts = {
      ...parts,
      registry,
      suspects,
      recall: recoveryWindow,
      watches: this.watches,
      leaderWait: this.leaderWait,
      work: this.work,
      readView: () => this.readView(),
    };
    this.announcementService = new AnnouncementService({ ...serviceParts, gate: this.announcementValidator });
    this.watchService = new WatchService({ ...serviceParts, address: parts.self.address });
    this.directory = new ReplicaDirectory(parts.founders);
    this.suspensionEpoch = parts.suspension.readEpoch();
    this.runner = new LogRunner(parts.self.id, parts.stored, parts.store, {
      applyCommand: (command) => this.applyCommand(command),
      restoreSnapshot: (snapshot) => this.restoreSnapshot(snapshot),
      takeSnapshot: () => JSON.stringify(this.site),
      sendMessage: (message) => this.sendMessage(message),
      handleRoleChange: (role, term) => this.handleRoleChange(role, term),
      failStorage: (error) => parts.port.failStorage(error),
    }, parts.clock, { startedAt: parts.startedAt });
    this.readBarrier = new ReadBarrier({
      runner: this.runner,
      readLeaderAddress: () => this.leaderAddress,
      askLeader: (address) => parts.port.confirm(address),
      clock: parts.clock,
    });
    this.publisher = new DocumentPublisher({
      ...parts,
      runner: this.runner,
      readVersion: () => this.site.version,
      readLeaderAddress: () => this.leaderAddress,
      waitLeader: async (maxMs) => {
        await this.leaderWait.wait(maxMs);
        return this.isLeading;
      },
    });
  }

  /** Requests that are known to end backend servers. */
  get suspects(): SuspectRegistry {
    return this.softState.suspects;
  }

  /** gRPC address of the leader as this replica knows it; empty when there is none. */
  get leaderAddress(): string {
    return this.findAddress(this.runner.state.leaderId);
  }

  /** Whether this replica leads and no other can at this moment. */
  get isLeading(): boolean {
    this.checkSuspension();
    return this.runner.holdsLease;
  }

  /** Whether another replica is known to lead. */
  private get isOtherLeaderKnown(): boolean {
    return this.leaderAddress !== '' && this.leaderAddress !== this.parts.self.address;
  }

  /** gRPC addresses of all replicas of the site. */
  get replicaAddresses(): string[] {
    const { voters, learners } = this.runner.state.replicas;
    return [...voters, ...learners].map(({ address }) => address);
  }

  /** Whether nothing was heard from a leader for long: the replica may not be part of the site. */
  get hasLostContact(): boolean {
    const { state } = this.runner;
    return state.role !== 'leader'
      && this.parts.clock.now() - state.lastLeaderContactAt > LOST_CONTACT_MS;
  }

  /** Entries that callers may be sent to. */
  listEntries(): readonly EntryRecord[] {
    return this.isLeading ? this.leaderState.listEntries() : this.softState.listEntries();
  }

  /** Runs the log and, on a leader, what keeps the site in order. */
  tick(): void {
    this.checkSuspension();
    this.work.recordTick();
    this.runner.handle({ kind: 'tick' });
    this.leaderWait.check();
    this.softState.save();
    if (!this.runner.holdsLease) return;
    this.softState.expire();
    this.work.measure('tend', () => this.leaderState.refresh(this.softState.registry.table));
    this.replicaSetManager.reconcile(this.runner, this.leaderState.startedAt);
    this.work.logCounts();
  }

  /** Takes a message of another replica. */
  step(message: LogMessage): void {
    this.replicaSetManager.recordMessage(message.from);
    this.runner.handle({ kind: 'message', message });
    this.leaderWait.check();
  }

  /** Answers an entry or a replica that follows, held until there is news. */
  watch(request: WatchRequest): Promise<WatchReply> {
    return this.watchService.watch(request);
  }

  /** Takes in what the leader told a replica that follows. */
  follow(reply: WatchReply): void {
    if (!this.runner.holdsLease) this.softState.applyReply(reply);
  }

  /** What a replica that follows asks the leader with. */
  buildFollowRequest(holdMs: number): WatchRequest {
    return this.softState.buildFollowRequest(this.site.digest, holdMs);
  }

  /** Checks a document and has a majority accept it; on a replica that follows it is forwarded. */
  publish(request: PublishRequest): Promise<PublishReply> {
    return this.publisher.publish(request);
  }

  /** The newest accepted document; throws when this replica cannot be sure which it is. */
  async readLatestDocument(): Promise<SiteDocument> {
    await this.readBarrier.waitUntilCurrent();
    if (this.site.version === 0) throw new BeechliftError('noQuorum', 'no document was accepted yet');
    return this.site;
  }

  /** Proves that this replica leads, for one that follows. */
  confirm(): Promise<ConfirmReply> {
    return this.readBarrier.confirmLeadership();
  }

  /**
   * Opens the line by which an entry asks for places, until its stream ends or another leads.
   *
   * It needs no lease: slots and what accounts have left are counted here alone until another
   * replica leads, and entries that hear of one ask it. Over lossy links the lease lapses for some
   * hundred milliseconds at a time; entries that choose for themselves then refuse requests of
   * accounts within their limits.
   */
  openPlacementStream(sink: PlacementSink): PlacementMessageHandlers {
    if (this.runner.state.role !== 'leader') throw new BeechliftError('noQuorum', 'this replica does not lead');
    const { leaderState: leaderState, softState: { registry } } = this;
    const placementStream = leaderState.openStream(sink);
    return {
      take: (message) => this.work.measure('place', () => leaderState.handleMessage(placementStream, message, registry.table)),
      close: () => leaderState.closeStream(placementStream),
    };
  }

  /** Requests that wait for a slot here, and those that hold one; none on one that follows. */
  countRequests(): ReturnType<LeaderState['countRequests']> {
    return this.leaderState.countRequests();
  }

  /** Backend servers that this replica knows, by where they stand. */
  countWorkers(): ReadonlyMap<WorkerStanding, number> {
    return countByStanding(this.softState.registry.table);
  }

  /** Takes in what a backend server said of itself; false when no leader could be told. */
  announce(announcement: WorkerAnnouncement, isForwarded = false): Promise<AnnounceReply> {
    return this.announcementService.announce(announcement, isForwarded);
  }

  /** Notes who answered while this replica looked for the site. */
  addDiscovered(replica: Replica): void {
    this.directory.addDiscovered(replica);
  }

  /** Answers another replica that looks for the site. */
  meet({ from }: MeetRequest): MeetReply {
    if (from && this.runner.state.role === 'leader') this.replicaSetManager.recordJoinRequest(from);
    return {
      self: this.parts.self,
      founded: true,
      founders: [...this.parts.founders],
      leaderAddress: this.leaderAddress,
    };
  }

  /** Ends all that wait. */
  stop(): Promise<void> {
    this.leaderWait.release();
    this.watches.release();
    return this.runner.stop();
  }

  private readView(): ReplicaView {
    return {
      isLeading: this.isLeading,
      otherLeader: this.isOtherLeaderKnown ? this.leaderAddress : '',
      replicaAddresses: this.replicaAddresses,
      site: this.site,
      leaderState: this.leaderState,
    };
  }

  private makeLeaderState(): LeaderState {
    return new LeaderState({ ...this.parts, suspects: this.suspects });
  }

  /** Puts the limits of the document in force, which only a leader counts. */
  private configureAccounts(): void {
    const { routing } = this.parts.readRouting(this.site.document);
    if (routing) this.leaderState.configureAccounts(routing.accounts);
  }

  private applyCommand(text: string): true {
    const command = decodeCommand(text);
    const previous = this.site;
    this.site = applyDocument(this.site, command, computeSha256(command.document));
    if (this.site === previous) return true;
    if (this.runner.state.role === 'leader') this.configureAccounts();
    this.watches.release();
    return true;
  }

  private restoreSnapshot(snapshot: Snapshot): void {
    this.site = parseSiteDocument(snapshot.data);
    this.watches.release();
  }

  /*
   * Guards the lease of a leader that was suspended: see the log's event. It is looked at before
   * each answer that rests on the lease, as the first call after a wake may come before any tick.
   */
  private checkSuspension(): void {
    const epoch = this.parts.suspension.readEpoch();
    if (epoch === this.suspensionEpoch) return;
    this.suspensionEpoch = epoch;
    this.runner.handle({ kind: 'suspended' });
    this.parts.logger.warn('clocks moved apart: leases are renewed before they are relied on');
  }

  private findAddress(id: string): string {
    return this.directory.find(id, this.runner.state.replicas)?.address ?? '';
  }

  private sendMessage(message: LogMessage): void {
    const address = this.findAddress(message.to);
    if (address !== '') this.parts.port.sendMessage(message, address);
  }

  private handleRoleChange(role: LogRole, term: number): void {
    this.parts.logger.info('role changed', { role, term });
    if (role !== 'leader') return;
    this.leaderState.close();
    this.leaderState = this.makeLeaderState();
    if (this.site.version > 0) this.configureAccounts();
    this.softState.startLeading();
  }
}
