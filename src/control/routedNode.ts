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
import { AnnouncementDesk } from './announcementDesk';
import { AnnouncementGate } from './announcementGate';
import { decodeCommand } from './documentCommand';
import { DocumentPublisher } from './documentPublisher';
import { KnownSite } from './knownSite';
import { LeaderBook } from './leaderBook';
import { LeaderWait } from './leaderWait';
import { LogRunner } from './logRunner';
import type { EntryLine, PlacementStream } from './placementLine';
import { NewestReader } from './newestReader';
import { ReplicaDirectory } from './replicaDirectory';
import { ReplicaKeeper } from './replicaKeeper';
import type { RoutedNodeParts } from './routedNodeParts';
import type { SuspectKeeper } from './suspectKeeper';
import { WatchDesk } from './watchDesk';
import type { WatchView } from './watchDesk';
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

  private readonly known: KnownSite;

  /** Keeps out announcements that no backend server of this site sends. */
  readonly gate: AnnouncementGate;

  private readonly announcements: AnnouncementDesk;

  private readonly desk: WatchDesk;

  private book: LeaderBook;

  private readonly watches = new HeldCalls();

  private readonly leaderWait: LeaderWait;

  private readonly keeper: ReplicaKeeper;

  private readonly reader: NewestReader;

  private readonly publisher: DocumentPublisher;

  private readonly directory: ReplicaDirectory;

  private suspensionEpoch: number;

  /** What this replica works on. */
  readonly work: WorkMeter;

  constructor(private readonly parts: RoutedNodeParts) {
    this.site = parseSiteDocument(parts.stored.snapshot.data);
    this.work = new WorkMeter(parts.clock, parts.logger, TICK_MS);
    const countEntries = () => this.book.countEntries();
    this.known = new KnownSite({ ...parts, watches: this.watches, countEntries });
    const { registry, suspects, recall } = this.known;
    this.book = this.openBook();
    this.keeper = new ReplicaKeeper(parts.voterCount, parts.clock, parts.logger);
    this.leaderWait = new LeaderWait(() => this.isLeading || this.knowsOther);
    this.gate = new AnnouncementGate({
      ...parts, readSite: () => this.site, readTable: () => registry.table,
    });
    const deskParts = {
      ...parts,
      registry,
      suspects,
      recall,
      watches: this.watches,
      leaderWait: this.leaderWait,
      work: this.work,
      readView: () => this.readView(),
    };
    this.announcements = new AnnouncementDesk({ ...deskParts, gate: this.gate });
    this.desk = new WatchDesk({ ...deskParts, address: parts.self.address });
    this.directory = new ReplicaDirectory(parts.founders);
    this.suspensionEpoch = parts.suspension.readEpoch();
    this.runner = new LogRunner(parts.self.id, parts.stored, parts.store, {
      applyCommand: (command) => this.applyCommand(command),
      restoreSnapshot: (snapshot) => this.restoreSnapshot(snapshot),
      takeSnapshot: () => JSON.stringify(this.site),
      sendMessage: (message) => this.sendMessage(message),
      noteRole: (role, term) => this.noteRole(role, term),
      failStorage: (error) => parts.port.failStorage(error),
    }, parts.clock, { startedAt: parts.startedAt });
    this.reader = new NewestReader({
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
      waitLeader: async (mostMs) => {
        await this.leaderWait.wait(mostMs);
        return this.isLeading;
      },
    });
  }

  /** Requests that are known to end backend servers. */
  get suspects(): SuspectKeeper {
    return this.known.suspects;
  }

  /** gRPC address of the leader as this replica knows it; empty when there is none. */
  get leaderAddress(): string {
    return this.findAddress(this.runner.state.leaderId);
  }

  /** Whether this replica leads and no other can at this moment. */
  get isLeading(): boolean {
    this.noteSuspension();
    return this.runner.holdsLease;
  }

  /** Whether another replica is known to lead. */
  private get knowsOther(): boolean {
    return this.leaderAddress !== '' && this.leaderAddress !== this.parts.self.address;
  }

  /** gRPC addresses of all replicas of the site. */
  get replicaAddresses(): string[] {
    const { voters, learners } = this.runner.state.replicas;
    return [...voters, ...learners].map(({ address }) => address);
  }

  /** Whether nothing was heard from a leader for long: the replica may not be part of the site. */
  get isOutOfTouch(): boolean {
    const { state } = this.runner;
    return state.role !== 'leader'
      && this.parts.clock.now() - state.lastLeaderContactAt > LOST_CONTACT_MS;
  }

  /** Entries that callers may be sent to. */
  listEntries(): readonly EntryRecord[] {
    return this.isLeading ? this.book.listEntries() : this.known.listEntries();
  }

  /** Runs the log and, on a leader, what keeps the site in order. */
  tick(): void {
    this.noteSuspension();
    this.work.noteTick();
    this.runner.handle({ kind: 'tick' });
    this.leaderWait.check();
    this.known.save();
    if (!this.runner.holdsLease) return;
    this.known.tend();
    this.work.measure('tend', () => this.book.tend(this.known.registry.table));
    this.keeper.tend(this.runner, this.book.startedAt);
    this.work.tell();
  }

  /** Takes a message of another replica. */
  step(message: LogMessage): void {
    this.keeper.noteHeard(message.from);
    this.runner.handle({ kind: 'message', message });
    this.leaderWait.check();
  }

  /** Answers an entry or a replica that follows, held until there is news. */
  watch(request: WatchRequest): Promise<WatchReply> {
    return this.desk.watch(request);
  }

  /** Takes in what the leader told a replica that follows. */
  follow(reply: WatchReply): void {
    if (!this.runner.holdsLease) this.known.follow(reply);
  }

  /** What a replica that follows asks the leader with. */
  buildFollowRequest(holdMs: number): WatchRequest {
    return this.known.buildRequest(this.site.digest, holdMs);
  }

  /** Checks a document and has a majority accept it; on a replica that follows it is forwarded. */
  publish(request: PublishRequest): Promise<PublishReply> {
    return this.publisher.publish(request);
  }

  /** The newest accepted document; throws when this replica cannot be sure which it is. */
  async readNewest(): Promise<SiteDocument> {
    await this.reader.waitNewest();
    if (this.site.version === 0) throw new BeechliftError('noQuorum', 'no document was accepted yet');
    return this.site;
  }

  /** Proves that this replica leads, for one that follows. */
  confirm(): Promise<ConfirmReply> {
    return this.reader.confirm();
  }

  /**
   * Opens the line by which an entry asks for places, until its stream ends or another leads.
   *
   * It needs no lease: slots and what accounts have left are counted here alone until another
   * replica leads, and entries that hear of one ask it. Over lossy links the lease lapses for some
   * hundred milliseconds at a time; entries that choose for themselves then refuse requests of
   * accounts within their limits.
   */
  openLine(stream: PlacementStream): EntryLine {
    if (this.runner.state.role !== 'leader') throw new BeechliftError('noQuorum', 'this replica does not lead');
    const { book, known: { registry } } = this;
    const line = book.openLine(stream);
    return {
      take: (news) => this.work.measure('place', () => book.takeNews(line, news, registry.table)),
      close: () => book.closeLine(line),
    };
  }

  /** Requests that wait for a slot here, and those that hold one; none on one that follows. */
  countRequests(): ReturnType<LeaderBook['countRequests']> {
    return this.book.countRequests();
  }

  /** Backend servers that this replica knows, by where they stand. */
  countWorkers(): ReadonlyMap<WorkerStanding, number> {
    return countByStanding(this.known.registry.table);
  }

  /** Takes in what a backend server said of itself; false when no leader could be told. */
  announce(said: WorkerAnnouncement, isForwarded = false): Promise<AnnounceReply> {
    return this.announcements.announce(said, isForwarded);
  }

  /** Notes who answered while this replica looked for the site. */
  noteMet(replica: Replica): void {
    this.directory.noteMet(replica);
  }

  /** Answers another replica that looks for the site. */
  meet({ from }: MeetRequest): MeetReply {
    if (from && this.runner.state.role === 'leader') this.keeper.noteNewcomer(from);
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

  private readView(): WatchView {
    return {
      isLeading: this.isLeading,
      otherLeader: this.knowsOther ? this.leaderAddress : '',
      replicaAddresses: this.replicaAddresses,
      site: this.site,
      book: this.book,
    };
  }

  private openBook(): LeaderBook {
    return new LeaderBook({ ...this.parts, suspects: this.suspects });
  }

  /** Puts the limits of the document in force, which only a leader counts. */
  private configureAccounts(): void {
    const { routing } = this.parts.readRouting(this.site.document);
    if (routing) this.book.configureAccounts(routing.accounts);
  }

  private applyCommand(text: string): true {
    const command = decodeCommand(text);
    const before = this.site;
    this.site = applyDocument(this.site, command, computeSha256(command.document));
    if (this.site === before) return true;
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
  private noteSuspension(): void {
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

  private noteRole(role: LogRole, term: number): void {
    this.parts.logger.info('role changed', { role, term });
    if (role !== 'leader') return;
    this.book.close();
    this.book = this.openBook();
    if (this.site.version > 0) this.configureAccounts();
    this.known.lead();
  }
}
