import type {
  AnnounceReply, ConfirmReply, EntryRecord, LogMessage, MeetReply, MeetRequest,
  PublishReply, PublishRequest, Replica, WatchReply, WatchRequest, WorkerAnnouncement,
} from '../protocol/generated/beechlift';
import { hasSiteCommands, listReplicas } from '../core/log/logState';
import type { LogRole } from '../core/log/logTypes';
import type { SiteDocument } from '../core/routing/siteDocument';
import { countByStanding } from '../core/routing/workerTable';
import type { WorkerStanding } from '../core/routing/workerTable';
import { BeechliftError } from '../errors/beechliftError';
import { HeldCalls } from '../utils/heldCalls';
import { AnnouncementService } from './announcementService';
import { AnnouncementValidator } from './announcementValidator';
import { DepartureLog } from './departureLog';
import { DocumentPublisher } from './documentPublisher';
import { SoftState } from './softState';
import { SuspensionGuard } from './suspensionGuard';
import { LeaderState } from './leaderState';
import { LeaderWait } from './leaderWait';
import { LearnerLog } from './learnerLog';
import { LeaseLog } from './leaseLog';
import { LogRunner } from './logRunner';
import { PlacementDelegate } from './placementDelegate';
import type { PlacementMessageHandlers, PlacementSink } from './placementStream';
import { ReadBarrier } from './readBarrier';
import { ReplicaDirectory } from './replicaDirectory';
import { ReplicaSetManager } from './replicaSetManager';
import type { RoutedNodeParts } from './routedNodeParts';
import { SiteStateMachine } from './siteStateMachine';
import type { SuspectRegistry } from './suspectRegistry';
import { VoteHandover } from './voteHandover';
import { WatchService } from './watchService';
import type { ReplicaView } from './watchService';
import { WorkMeter } from './workMeter';

/** Interval at which the log checks its timers, in milliseconds. */
export const TICK_MS = 25;
/** Time without contact with a leader after which a replica searches for the site, in ms. */
const LOST_CONTACT_MS = 1_000;

/**
 * One control replica of a routed site: it serves the replicated routing document, the registered
 * backend servers, and the watch requests of entries. It is independent of the transport.
 *
 * @example
 * const node = new RoutedNode(parts);
 * setInterval(() => node.tick(), TICK_MS);
 */
export class RoutedNode {
  readonly runner: LogRunner<true>;

  private readonly stateMachine: SiteStateMachine;

  private readonly softState: SoftState;

  /** Rejects announcements that cannot be from a backend server of this site. */
  readonly announcementValidator: AnnouncementValidator;

  private readonly announcementService: AnnouncementService;

  private readonly watchService: WatchService;

  private leaderState: LeaderState;

  /** Grants slots for the leader while this replica follows. */
  readonly delegate: PlacementDelegate;

  private readonly watches = new HeldCalls();

  private readonly leaderWait: LeaderWait;

  private readonly replicaSetManager: ReplicaSetManager;

  /** Gives the vote of this replica to a standby before the process stops. */
  readonly voteHandover: VoteHandover;

  private readonly departureLog: DepartureLog;

  private readonly readBarrier: ReadBarrier;

  private readonly publisher: DocumentPublisher;

  private readonly directory: ReplicaDirectory;

  private readonly suspensionGuard: SuspensionGuard;

  private readonly leaseLog: LeaseLog;

  private readonly learnerLog: LearnerLog;

  readonly work: WorkMeter;

  constructor(private readonly parts: RoutedNodeParts) {
    this.work = new WorkMeter(parts.clock, parts.logger, TICK_MS);
    this.softState = new SoftState({
      ...parts, watches: this.watches, countEntries: () => this.leaderState.countEntries(),
    });
    const {
      registry, suspects, origins, recoveryWindow,
    } = this.softState;
    this.leaderState = this.makeLeaderState();
    this.delegate = new PlacementDelegate({
      ...parts,
      replicaId: parts.self.id,
      readTable: () => registry.table,
      findRestriction: (fingerprint) => suspects.findRestriction(fingerprint),
    });
    this.replicaSetManager = new ReplicaSetManager(parts.voterCount, parts.clock, parts.logger);
    this.leaderWait = new LeaderWait(() => this.isLeading || this.otherLeaderAddress !== '');
    this.announcementValidator = new AnnouncementValidator({
      ...parts, readSite: () => this.site, readTable: () => registry.table,
    });
    const serviceParts = {
      ...parts,
      registry,
      suspects,
      origins,
      recoveryWindow,
      watches: this.watches,
      leaderWait: this.leaderWait,
      work: this.work,
      readView: () => this.readView(),
    };
    this.watchService = new WatchService({ ...serviceParts, address: parts.self.address });
    this.directory = new ReplicaDirectory(parts.founders);
    this.suspensionGuard = new SuspensionGuard({
      ...parts, handleSuspension: () => this.runner.handle({ kind: 'suspended' }),
    });
    this.runner = new LogRunner(parts.self.id, parts.stored, parts.store, {
      applyCommand: (command) => this.stateMachine.apply(command),
      restoreSnapshot: (snapshot) => this.stateMachine.restore(snapshot),
      takeSnapshot: () => this.stateMachine.format(),
      sendMessage: (message) => this.sendMessage(message),
      handleRoleChange: (role, term) => this.handleRoleChange(role, term),
      failStorage: (error) => parts.port.failStorage(error),
    }, parts.clock, { startedAt: parts.startedAt });
    this.departureLog = new DepartureLog({ ...parts, runner: this.runner, registry });
    this.stateMachine = new SiteStateMachine({
      data: parts.stored.snapshot.data,
      departures: this.departureLog,
      handleDocument: () => this.handleDocument(),
      handleRestore: () => this.watches.release(),
    });
    this.announcementService = new AnnouncementService({
      ...serviceParts,
      validator: this.announcementValidator,
      departures: this.departureLog,
      listFollowers: () => this.replicaSetManager.listResponsive(this.runner.state),
    });
    this.voteHandover = new VoteHandover({
      ...parts,
      runner: this.runner,
      replicaSetManager: this.replicaSetManager,
      sendMessage: (message) => this.sendMessage(message),
    });
    this.leaseLog = new LeaseLog(this.runner, parts);
    this.learnerLog = new LearnerLog(this.runner, parts);
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

  /** The routing document that is in force. */
  get site(): SiteDocument {
    return this.stateMachine.site;
  }

  /** Requests that are suspected of crashing backend servers. */
  get suspects(): SuspectRegistry {
    return this.softState.suspects;
  }

  /** gRPC address of the leader; empty if this replica knows none. */
  get leaderAddress(): string {
    return this.findAddress(this.runner.state.leaderId);
  }

  /** Whether this replica leads and holds the lease, so that no other replica can lead. */
  get isLeading(): boolean {
    this.suspensionGuard.check();
    return this.runner.holdsLease;
  }

  /** Address of another replica that is known to lead; empty if there is none. */
  private get otherLeaderAddress(): string {
    return this.leaderAddress === this.parts.self.address ? '' : this.leaderAddress;
  }

  /** gRPC addresses of all replicas of the site. */
  get replicaAddresses(): string[] {
    return listReplicas(this.runner.state.replicas).map(({ address }) => address);
  }

  /**
   * Whether this replica hears no leader, or cannot answer it; it may not be part of the site.
   *
   * Guards against a joining replica that the leader sends rounds before the replica has found it:
   * its log is empty, so it knows no address for its answers.
   */
  get needsDiscovery(): boolean {
    const { state } = this.runner;
    const isLeaderKnown = state.leaderId === '' || this.leaderAddress !== '';
    const isContactLost = this.parts.clock.now() - state.lastLeaderContactAt > LOST_CONTACT_MS;
    return state.role !== 'leader' && (isContactLost || !isLeaderKnown);
  }

  /** Address of the leader to follow; empty if none is known, or this replica leads. */
  get followedAddress(): string {
    const canFollow = !this.isLeading && this.runner.state.role !== 'leader';
    return canFollow ? this.leaderAddress : '';
  }

  /** Lists the entries that accept callers. */
  listEntries(): readonly EntryRecord[] {
    return this.isLeading ? this.leaderState.listEntries() : this.softState.listEntries();
  }

  /** Runs the timers of the log and, on a leader, the periodic tasks of the site. */
  tick(): void {
    this.suspensionGuard.check();
    this.work.recordTick(this.runner.holdsLease);
    this.runner.handle({ kind: 'tick' });
    this.voteHandover.tick();
    this.leaseLog.record();
    this.leaderWait.check();
    this.softState.save();
    const isLeader = this.runner.state.role === 'leader';
    if (isLeader) this.work.recordWaiting(this.countRequests().waiting);
    else this.work.measure('tend', () => this.delegate.tick());
    if (!this.runner.holdsLease) {
      if (isLeader) this.work.measure('tend', () => this.leaderState.placeWaiting());
      return;
    }
    this.softState.expire();
    this.work.measure('tend', () => this.leaderState.refresh(this.softState.registry.table));
    this.replicaSetManager.reconcile(this.runner, this.leaderState.startedAt);
    this.learnerLog.record();
    this.work.logCounts();
  }

  /** Handles a log message of another replica. */
  step(message: LogMessage): void {
    this.replicaSetManager.recordMessage(message);
    this.work.measure('step', () => this.runner.handle({ kind: 'message', message }));
    this.leaderWait.check();
  }

  /**
   * Answers an entry or a follower; the request is held until there is an update.
   *
   * @param isAbandoned returns whether the client has given the request up
   */
  watch(request: WatchRequest, isAbandoned?: () => boolean): Promise<WatchReply> {
    return this.watchService.watch(request, isAbandoned);
  }

  /** Applies a watch reply of the leader, unless this replica has led since the request. */
  follow(reply: WatchReply, request: WatchRequest): void {
    this.softState.applyReply(reply, request);
    if (this.runner.state.role !== 'leader') this.delegate.applyReply(reply, request);
  }

  /** Builds the watch request that a follower sends to the leader. */
  buildFollowRequest(holdMs: number): WatchRequest {
    return {
      ...this.softState.buildFollowRequest(this.site.digest, holdMs),
      ...this.delegate.buildPart(),
    };
  }

  /** Validates a document and replicates it to a majority; a follower forwards it to the leader. */
  publish(request: PublishRequest): Promise<PublishReply> {
    return this.publisher.publish(request);
  }

  /** Reads the latest accepted document; throws if this replica cannot confirm that it has it. */
  async readLatestDocument(): Promise<SiteDocument> {
    await this.readBarrier.waitUntilCurrent();
    if (this.site.version === 0n) throw new BeechliftError('noQuorum', 'no document has been accepted yet');
    return this.site;
  }

  /** Confirms to a follower that this replica leads, and returns the commit index. */
  confirm(): Promise<ConfirmReply> {
    return this.readBarrier.confirmLeadership();
  }

  /**
   * Opens the stream on which an entry requests slots, until the stream ends or another replica
   * leads.
   *
   * It needs no lease: only this replica counts slots and remaining account limits until another
   * one leads. On lossy links the lease lapses for some hundred milliseconds at a time; entries
   * would choose servers themselves meanwhile, and refuse accounts that are within their limits.
   */
  openPlacementStream(sink: PlacementSink): PlacementMessageHandlers {
    if (this.runner.state.role !== 'leader') throw new BeechliftError('noQuorum', 'this replica does not lead');
    const { leaderState, softState: { registry } } = this;
    const placementStream = leaderState.openStream(sink);
    return {
      take: (message) => this.work.measure('place', () => leaderState.handleMessage(placementStream, message, registry.table)),
      close: () => leaderState.closeStream(placementStream),
    };
  }

  /** Counts the requests that wait for a slot of this replica, and those that hold one. */
  countRequests(): ReturnType<LeaderState['countRequests']> {
    const isLeader = this.runner.state.role === 'leader';
    return isLeader ? this.leaderState.countRequests() : this.delegate.countRequests();
  }

  /** Counts the known backend servers by status. */
  countWorkers(): ReadonlyMap<WorkerStanding, number> {
    return countByStanding(this.softState.registry.table);
  }

  /** Applies an announcement of a backend server; `taken` is false if no leader received it. */
  announce(announcement: WorkerAnnouncement, isForwarded = false): Promise<AnnounceReply> {
    return this.announcementService.announce(announcement, isForwarded);
  }

  /** Picks the address of a replica for the later announcements of a server; empty for this one. */
  pickAnnouncementReceiver(): string {
    return this.announcementService.pickReceiver();
  }

  /** Records a replica that answered while this one searched for the site. */
  addDiscovered(replica: Replica): void {
    this.directory.addDiscovered(replica);
  }

  /** Answers another replica that searches for the site. */
  meet({ from }: MeetRequest): MeetReply {
    if (from && this.runner.state.role === 'leader') this.replicaSetManager.recordJoinRequest(from);
    return {
      self: this.parts.self,
      founded: true,
      founders: [...this.parts.founders],
      leaderAddress: this.leaderAddress,
    };
  }

  /** Releases all held requests and stops the log. */
  stop(): Promise<void> {
    this.leaderWait.release();
    this.watches.release();
    return this.runner.stop();
  }

  private readView(): ReplicaView {
    return {
      isLeading: this.isLeading,
      otherLeaderAddress: this.otherLeaderAddress,
      replicaAddresses: this.replicaAddresses,
      site: this.site,
      leaderState: this.leaderState,
    };
  }

  private makeLeaderState(): LeaderState {
    return new LeaderState({
      ...this.parts, ...this.softState.leaderParts, holdsLease: () => this.isLeading,
    });
  }

  /** Applies the account limits of the document; only a leader tracks them. */
  private configureAccounts(): void {
    const { routing } = this.parts.readRouting(this.site.document);
    if (routing) this.leaderState.configureAccounts(routing.accounts);
  }

  private handleDocument(): void {
    const { role } = this.runner.state;
    this.parts.logger.info('routing document applied', { version: this.site.version, role });
    if (role === 'leader') this.configureAccounts();
    this.watches.release();
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
    this.delegate.close();
    this.leaderState.close();
    this.leaderState = this.makeLeaderState();
    // After a restart, the document may be in the log only, and not be applied yet.
    if (hasSiteCommands(this.runner.state)) this.leaderState.countBurstsAsUsed();
    if (this.site.version > 0n) this.configureAccounts();
    this.softState.startLeading();
    this.departureLog.restoreKnown();
  }
}
