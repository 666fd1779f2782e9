import { PlaceReply } from '../protocol/generated/beechlift';
import type {
  EntryRecord, PlaceNews, PlaceRequest, WatchReply, WatchRequest,
} from '../protocol/generated/beechlift';
import { NO_RESTRICTION } from '../core/quarantine/placementRestriction';
import { AccountLedger } from '../core/routing/accountLedger';
import type { EntryListVersion } from '../core/routing/entryList';
import { NO_REVISION } from '../core/routing/listVersion';
import { computeSettleMs, needsDelegates } from '../core/routing/messageIntervals';
import type { Mechanisms } from '../core/routing/mechanisms';
import type { StreamOrigins } from '../core/routing/streamOrigins';
import { listChangedWorkers } from '../core/routing/workerRecords';
import type { WorkerTable } from '../core/routing/workerTable';
import { resultCodes } from '../errors/resultCodes';
import type { RoutedAccount } from '../manifest/routing';
import type { Logger } from '../telemetry/logger';
import type { Clock } from '../utils/clock';
import { EntryTable, ENTRY_TIMEOUT_MS } from './entryTable';
import { LentServers } from './lentServers';
import { LoadPacker } from './loadPacker';
import { PlacementService } from './placementService';
import { PlacementStream } from './placementStream';
import type { PlacementSink } from './placementStream';
import type { SuspectRegistry } from './suspectRegistry';

/** Dependencies of the leader state. */
export interface LeaderStateParts {
  readonly clock: Clock;
  /** Duration of the lease that a reply grants to an entry, in milliseconds. */
  readonly leaseMs: number;
  /** What accounts may use beyond their limits, summed over all entries. */
  readonly limitSlack: number;
  /** Receives reports of crashes; if it is missing, no request is suspected. */
  readonly suspects?: Pick<SuspectRegistry, 'applyReports' | 'findRestriction'> | undefined;
  /** Which version began which stream; kept over changes of the leader. */
  readonly origins?: StreamOrigins | undefined;
  /** Whether no other leader can exist; if it is missing, none can. */
  readonly holdsLease?: (() => boolean) | undefined;
  /** Defaults to all mechanisms on. */
  readonly mechanisms?: Mechanisms | undefined;
  /** If it is missing, nothing is logged. */
  readonly logger?: Logger | undefined;
}

/** Fields of a watch reply that only entries need. */
export type EntryPart = Pick<WatchReply, 'loadList' | 'grants' | 'entryCount' | 'limits'>;

/** Fields of a watch reply that only followers need which grant slots. */
export type DelegatePart = EntryPart & Pick<WatchReply, 'delegate'>;

/** Longest time for which a new leader waits for what entries tell of earlier charges, in ms. */
const CHARGES_WAIT_MS = 500;

/** Interval at which loads are applied where delegates report some too, in milliseconds. */
const LOADS_INTERVAL_MS = 100;

/** Fields of a watch reply that list the entries that accept callers. */
export type EntryListPart = Pick<WatchReply, 'entries' | 'entriesRevision'>;

/**
 * State that a leader keeps in memory: the active entries, the remaining account limits, and the
 * slots in use. None of it is replicated; the next leader starts with an empty state, and learns
 * from the entries.
 *
 * @example
 * const leaderState = new LeaderState(parts);
 * leaderState.configureAccounts(routing.accounts);
 */
export class LeaderState {
  private readonly entries: EntryTable;

  private readonly ledger: AccountLedger;

  private readonly placementService: PlacementService;

  private readonly lent: LentServers;

  private readonly loadPacker = new LoadPacker(() => this.lent.addPlaced(
    this.placementService.addPlaced(this.entries.sumLoads(this.parts.clock.now())),
  ));

  private readonly streams = new Set<PlacementStream>();

  /** Revision of the server table that the placement service has applied. */
  private appliedRevision = 0;

  /** When loads were applied last, monotonic milliseconds. */
  private loadsAppliedAt = -Infinity;

  /** Most entries that an entry knew at the leader before. */
  private earlierEntries = 0;

  /** When this replica began to lead, monotonic milliseconds. */
  readonly startedAt: number;

  constructor(private readonly parts: LeaderStateParts) {
    this.startedAt = parts.clock.now();
    this.lent = new LentServers(this.startedAt);
    this.entries = new EntryTable(parts.leaseMs);
    this.ledger = new AccountLedger(parts.limitSlack, CHARGES_WAIT_MS);
    this.placementService = new PlacementService({
      clock: parts.clock,
      logger: parts.logger,
      mechanisms: parts.mechanisms,
      origins: parts.origins,
      holdsLease: parts.holdsLease,
      findRestriction: (fingerprint) => parts.suspects?.findRestriction(fingerprint)
        ?? NO_RESTRICTION,
      handleUnplaced: ({ account, cost }) => this.ledger.refund(account, cost),
    });
  }

  /** Takes accounts as used up under earlier leaders, until entries tell what was used. */
  countBurstsAsUsed(): void {
    this.ledger.countBurstsAsUsed(this.parts.clock.now());
  }

  /** Sets the limits of accounts. */
  configureAccounts(accounts: readonly RoutedAccount[]): void {
    this.ledger.configure(accounts, this.parts.clock.now());
  }

  /**
   * Records that an entry sent a watch request, and what it tells of accounts and servers.
   *
   * @param epoch identifies the tables of this leader
   * @param receivedAt when the request was received, which this replica may have held since
   */
  recordEntry(request: WatchRequest, epoch = '', receivedAt = this.parts.clock.now()): void {
    const now = this.parts.clock.now();
    this.entries.record(request, now);
    this.earlierEntries = Math.max(this.earlierEntries, request.knownEntries);
    this.recordEarlierCharges(request, epoch, receivedAt);
    this.ledger.recordSpends(request.entryId, request.spends, now);
    this.placementService.applyNamedRates(request.limits);
  }

  /** Counts the entries that may hold a lease. */
  countEntries(): number {
    return this.entries.countLeased(this.parts.clock.now());
  }

  /** Lists the entries that accept callers. */
  listEntries(): readonly EntryRecord[] {
    return this.entries.listActive(this.parts.clock.now()).records;
  }

  /**
   * Builds the entry list for a client; empty if the client already has the current one.
   *
   * A new leader knows only few entries at first, and all callers would be sent to these. So a
   * client that has the list of an earlier leader keeps it until all entries had time to send a
   * watch request. The epoch identifies the leader of a list, as the revisions of two leaders may
   * match.
   *
   * @param epoch identifies the tables of this leader
   */
  buildEntryListPart(
    { entriesEpoch, entriesRevision }: EntryListVersion,
    epoch: string,
  ): EntryListPart {
    const now = this.parts.clock.now();
    const isOwn = entriesEpoch === epoch;
    const isSettling = now - this.startedAt < this.settleMs;
    if (isSettling && !isOwn && entriesEpoch !== '') return { entries: [], entriesRevision: NO_REVISION };
    const { records, revision } = this.entries.listActive(now);
    const isSame = isOwn && revision === entriesRevision;
    return { entries: isSame ? [] : [...records], entriesRevision: revision };
  }

  /**
   * Builds the fields of a reply that only entries need. An entry with grants of an earlier leader
   * keeps them while this one learns what was used.
   */
  buildEntryPart({ entryId, knownEntries }: WatchRequest): EntryPart {
    const now = this.parts.clock.now();
    const entryCount = this.countEntries();
    const keepsGrants = knownEntries > 0 && this.ledger.isLearning(now);
    return {
      loadList: this.loadPacker.build(now),
      grants: keepsGrants
        ? []
        : this.ledger.listGrants(entryId, entryCount + this.lent.granterCount, now),
      entryCount,
      limits: this.placementService.listRateLimits(),
    };
  }

  /** Records what a follower reports that grants slots. */
  recordDelegate({ delegate, spends }: WatchRequest): void {
    if (!delegate) return;
    const now = this.parts.clock.now();
    this.lent.report(delegate, now);
    this.placementService.applyOrigins(delegate.origins);
    this.ledger.recordDelegateSpends(delegate.replicaId, spends, now);
  }

  /** Builds the fields of a reply that tell a follower which slots it grants. */
  buildDelegatePart(replicaId: string): DelegatePart {
    const now = this.parts.clock.now();
    const entryCount = this.countEntries();
    const workerIds = this.lent.list(replicaId);
    // Without servers it charges nobody.
    const needsGrants = workerIds.length > 0;
    return {
      loadList: needsGrants ? this.loadPacker.build(now) : Buffer.alloc(0),
      grants: needsGrants
        ? this.ledger.listGrants(replicaId, entryCount + this.lent.granterCount, now)
        : [],
      entryCount,
      limits: [],
      delegate: { workerIds },
    };
  }

  /** Opens the placement stream of an entry. */
  openStream(sink: PlacementSink): PlacementStream {
    const stream = new PlacementStream(sink, this.parts.clock);
    this.streams.add(stream);
    return stream;
  }

  /** Handles a message of an entry's placement stream. */
  handleMessage(stream: PlacementStream, message: PlaceNews, workers: WorkerTable): void {
    if (!stream.isOpen) return;
    if (message.entryId !== '') this.closeEarlierStreams(message.entryId);
    this.applyWorkerChanges(workers);
    stream.acknowledge(message.number, message.requests.length > 0);
    // Before free slots are granted: a request that crashed its server must not get another one.
    this.parts.suspects?.applyReports(message);
    this.placementService.applyOrigins(message.origins);
    this.placementService.applyReports(message.reports);
    if (message.entryId !== '') {
      stream.entryId = message.entryId;
      this.placementService.releaseUnheld(message.entryId, message.held);
    }
    this.placementService.requestSlots(
      message.requests.filter((request) => this.charge(request, stream)),
      stream,
    );
  }

  /*
   * An entry has one stream. Messages of an earlier one may still arrive by way of another replica,
   * and would place requests that the entry has placed or given up since.
   */
  private closeEarlierStreams(entryId: string): void {
    [...this.streams]
      .filter((stream) => stream.entryId === entryId)
      .forEach((stream) => this.closeStream(stream));
  }

  /** Ends the placement stream of an entry. */
  closeStream(stream: PlacementStream): void {
    this.streams.delete(stream);
    this.placementService.closeStream(stream);
  }

  /** Time in which all entries reach a new leader, in milliseconds. */
  private get settleMs(): number {
    return computeSettleMs(Math.max(this.earlierEntries, this.countEntries()));
  }

  /*
   * Only charges under another leader: what this one charged itself must not count twice, also if
   * the entry lost the connection and is not sure who leads.
   */
  private recordEarlierCharges(
    {
      entryId, recentCharges: charges, chargesEpoch, knownEntries: entryCount,
    }: WatchRequest,
    epoch: string,
    toldAt: number,
  ): void {
    if (entryCount <= 0 || chargesEpoch === epoch) return;
    const now = this.parts.clock.now();
    if (!this.ledger.recordEarlier(entryId, { charges, entryCount, toldAt }, now)) return;
    this.parts.logger?.info('entry told what was charged under the earlier leader', {
      entry: entryId,
      accounts: charges.length,
      entryCount,
      leadingMs: Math.round(now - this.startedAt),
    });
  }

  /** Charges a request to its account; refuses it if the account is over its limit. */
  private charge(request: PlaceRequest, stream: PlacementStream): boolean {
    const {
      account, cost, rank, placeId,
    } = request;
    // A waiting request was already charged: its entry repeats it over a second stream.
    if (this.placementService.isWaiting(placeId)) return true;
    const waitMs = this.ledger.charge(account, cost, rank, this.parts.clock.now());
    if (waitMs <= 0) return true;
    stream.add(PlaceReply.fromPartial({
      placeId,
      code: resultCodes.accountLimited.number,
      message: `account "${account}" is over its limit`,
      retryAfterMs: Math.ceil(waitMs),
    }));
    return false;
  }

  /** Counts the requests that wait for a slot, and those that hold one. */
  countRequests(): { readonly waiting: number; readonly placed: number } {
    return this.placementService.countRequests();
  }

  /** Applies changes of servers and entries, and closes the streams of entries that timed out. */
  refresh(workers: WorkerTable): void {
    const now = this.parts.clock.now();
    this.applyWorkerChanges(workers);
    [...this.streams]
      .filter((stream) => this.hasTimedOut(stream, now))
      .forEach((stream) => this.closeStream(stream));
    this.applyLoads(now);
    this.assignServers(now);
    this.placementService.expire((entryId) => this.entries.has(entryId, now));
    this.placementService.placeWaiting();
  }

  private applyLoads(now: number): void {
    const intervalMs = this.lent.granterCount > 0 ? LOADS_INTERVAL_MS : 0;
    if (now - this.loadsAppliedAt < intervalMs) return;
    this.loadsAppliedAt = now;
    this.placementService.applyLoads(this.lent.addOpen(this.entries.sumLoads(now)));
  }

  private assignServers(now: number): void {
    const { placementService, lent } = this;
    const isEven = needsDelegates(this.countEntries());
    if (!lent.plan(placementService.servers, now, isEven)) return;
    placementService.markLent((id) => lent.isLent(id));
  }

  /**
   * Decides on all waiting requests. Needs no lease: entries whose requests wait would otherwise
   * hear nothing while it has lapsed, and choose servers themselves.
   */
  placeWaiting(): void {
    this.placementService.placeWaiting();
  }

  /** Ends all streams when this replica no longer leads; the entries connect to the new leader. */
  close(): void {
    [...this.streams].forEach((stream) => this.closeStream(stream));
  }

  /*
   * The connection of an entry whose machine lost power stays open, and free slots would be granted
   * to its waiting requests. So the stream of an entry that timed out is closed.
   */
  private hasTimedOut({ entryId, silentMs }: PlacementStream, now: number): boolean {
    return entryId !== '' && silentMs > ENTRY_TIMEOUT_MS && !this.entries.has(entryId, now);
  }

  private applyWorkerChanges(workers: WorkerTable): void {
    const { epoch, revision } = workers;
    if (this.appliedRevision === revision) return;
    this.placementService.applyRecords(listChangedWorkers(workers, epoch, this.appliedRevision));
    this.appliedRevision = revision;
  }
}
