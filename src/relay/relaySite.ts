import type { EntryRecord, WatchReply, WatchRequest } from '../protocol/generated/beechlift';
import { SuspectList } from '../core/quarantine/suspectList';
import { BrittleServices } from '../core/routing/brittleServices';
import { EntryList } from '../core/routing/entryList';
import type { Mechanisms } from '../core/routing/mechanisms';
import { computeWatchHoldMs } from '../core/routing/messageIntervals';
import { ServerReach } from '../core/routing/serverReach';
import { ServiceRetryBudget } from '../core/routing/serviceRetryBudget';
import type { RetryBounds } from '../core/routing/serviceRetryBudget';
import {
  applyRecords, isReady, makeRoutedWorkers, setConnectionShares,
} from '../core/routing/routedWorkers';
import type { RoutedWorker, RoutedWorkers } from '../core/routing/routedWorkers';
import { RouteTable } from '../core/routing/routeTable';
import { NO_DOCUMENT } from '../core/routing/siteDocument';
import { resetDelegated, resetPlaced } from '../core/routing/workerLoads';
import { applyRateLimits, listNamedRates } from '../core/routing/workerRateLimit';
import type { RateSharing } from '../core/routing/workerRateLimit';
import { parseVersion } from '../manifest/documentVersion';
import type { DocumentVersion } from '../manifest/documentVersion';
import type { RoutingReader } from '../manifest/routing';
import type { Logger } from '../telemetry/logger';
import type { Clock, SuspensionDetector } from '../utils/clock';
import { HeldCalls } from '../utils/heldCalls';
import { AnsweredParts } from './answeredParts';
import { CutShares } from './cutShares';
import { EntryAccounts } from './entryAccounts';
import { HeldTable } from './heldTable';
import { LeavingPeriod } from './leavingPeriod';
import { LoadReports } from './loadReports';
import type { PickedWorker } from './pickRequest';
import { readDocument } from './readDocument';

/** State of an entry, as reported to control and by the readiness check. */
export type RelayState = 'starting' | 'active' | 'cutOff' | 'leaving';

/** Most requests that wait for a lease; more are refused at once. */
const MAX_LEASE_WAITERS = 500;

/** Dependencies and identity of a relay site. */
export interface RelaySiteParts {
  readonly entryId: string;
  readonly callerAddress: string;
  readonly zone: string;
  readonly readRouting: RoutingReader;
  readonly clock: Clock;
  readonly suspension: SuspensionDetector;
  readonly logger: Logger;
  readonly retryBounds: RetryBounds;
  /** Defaults to all mechanisms on. */
  readonly mechanisms?: Mechanisms;
}

/**
 * State of the site as an entry received it from control, and the lease on it.
 *
 * Without a valid lease, or after the machine may have been suspended, the entry accepts no new
 * requests: a newer routing document may forbid them.
 *
 * @example
 * site.applyReply(reply, sentAt, epoch);
 * if (!site.isServing) refuse('configurationStale');
 */
export class RelaySite {
  table: RouteTable | undefined;

  readonly workers: RoutedWorkers;

  readonly accounts = new EntryAccounts();

  private readonly entries = new EntryList();

  readonly retries: ServiceRetryBudget;

  /** Whether this entry reaches the backend servers. */
  readonly reach = new ServerReach();

  /** Services whose servers fail if they must turn many requests away. */
  readonly brittleServices = new BrittleServices();

  /** How often streams of a service seemed complete and were cut off. */
  readonly cutShares = new CutShares();

  /** Requests that are known to crash backend servers. */
  readonly suspects = new SuspectList();

  /** Parts of prompts that crash no server. */
  readonly answeredParts = new AnsweredParts();

  /** The time in which this entry shuts down. */
  readonly leaving: LeavingPeriod;

  private documentDigest = '';

  /** Version that control assigns to the document; 0 before the first. */
  private documentVersion: DocumentVersion = NO_DOCUMENT.version;

  /** The leader's server table that this entry has a copy of. */
  private readonly heldTable = new HeldTable();

  /** What this entry reports about the servers. */
  readonly loadReports = new LoadReports();

  private leaseUntil = 0;

  /** When the latest answered watch request was sent, monotonic milliseconds. */
  private lastAnsweredSentAt = 0;

  private leaseEpoch = -1;

  private leasedEntryCount = 1;

  private readonly leaseWaiters = new HeldCalls();

  private readonly replyWaiters = new HeldCalls();

  constructor(private readonly parts: RelaySiteParts) {
    this.leaving = new LeavingPeriod(parts.clock);
    this.workers = makeRoutedWorkers(parts.mechanisms);
    this.retries = new ServiceRetryBudget(parts.retryBounds, () => this.entryCount);
  }

  /** Id of this run of the entry. */
  get entryId(): string {
    return this.parts.entryId;
  }

  /** Availability zone of this entry. */
  get zone(): string {
    return this.parts.zone;
  }

  /** Time until the lease ends, in milliseconds; negative once it has ended. */
  get leaseLeftMs(): number {
    return this.leaseUntil - this.parts.clock.now();
  }

  /** Whether new requests may be accepted. */
  get isServing(): boolean {
    return this.table !== undefined
      && this.leaseLeftMs > 0
      && this.parts.suspension.readEpoch() === this.leaseEpoch;
  }

  /**
   * Waits until new requests may be accepted, at most `maxMs` milliseconds.
   *
   * @example
   * await site.waitServing(300);
   */
  waitServing(maxMs: number): Promise<void> {
    if (this.isServing || this.leaseWaiters.size >= MAX_LEASE_WAITERS) return Promise.resolve();
    return this.leaseWaiters.hold(maxMs);
  }

  /** Epoch of the held server table; empty before the first. */
  get workersEpoch(): string {
    return this.heldTable.epoch;
  }

  /** Identifies the delegate of the leader that grants slots to this entry; empty before one. */
  delegateEpoch = '';

  /** Records which delegate grants slots; another one does not know what was granted before. */
  recordDelegate(address: string): void {
    const epoch = `delegate ${address}`;
    if (epoch === this.delegateEpoch) return;
    this.delegateEpoch = epoch;
    resetDelegated(this.workers);
  }

  /**
   * Counts a slot as granted, so that it is not reported as a load of this entry's own.
   *
   * @param change 1 when it is taken into use, -1 when it is released
   */
  countSlot({ worker, epoch }: Pick<PickedWorker, 'worker' | 'epoch'>, change: 1 | -1): void {
    if (epoch === '') return;
    if (epoch === this.workersEpoch) worker.placed += change;
    else if (epoch === this.delegateEpoch) worker.delegated += change;
  }

  /** Revision of that table; a later one knows more announcements. */
  get workersRevision(): number {
    return this.heldTable.revision;
  }

  /** Whether the held server table has all that a leader knew at some moment after a time. */
  isTableConfirmedSince(time: number): boolean {
    return this.heldTable.isConfirmedSince(time);
  }

  /** Whether the leader has led for long enough to have heard of all streams and versions. */
  get isTableSettled(): boolean {
    return this.heldTable.isSettled(this.parts.clock.now());
  }

  /** Resolves when the next reply of a leader was applied, or after some milliseconds. */
  waitReply(maxMs: number): Promise<void> {
    return this.replyWaiters.hold(maxMs);
  }

  /** Whether a server that was chosen before may get a request now. */
  maySendTo(worker: RoutedWorker): boolean {
    return this.isServing && this.workers.byId.get(worker.id) === worker && isReady(worker);
  }

  /** Whether this entry shuts down and callers are sent to other entries. */
  get isLeaving(): boolean {
    return this.leaving.hasBegun;
  }

  /** State that is reported to control and to readiness checks. */
  get state(): RelayState {
    if (this.isLeaving) return 'leaving';
    if (!this.isServing || this.workersEpoch === '') return 'starting';
    return this.reach.isCutOff ? 'cutOff' : 'active';
  }

  /**
   * Lists the entries that callers may be sent to; none without a lease. Leaves this entry out as
   * soon as it shuts down, even before the leader receives its report.
   */
  listEntries(): readonly EntryRecord[] {
    if (!this.isServing) return [];
    return this.entries.records.filter(({ id }) => !(this.isLeaving && id === this.entryId));
  }

  /** Number of entries that hold a lease, including this one. */
  get entryCount(): number {
    return this.leasedEntryCount;
  }

  /** Whether most entries accept callers; by their number until their list is received. */
  get hasOtherEntries(): boolean {
    if (!this.entries.isReceived) return this.entryCount > 1;
    return 2 * this.listEntries().length >= this.entryCount;
  }

  /** How the entries divide the rate limits of backend servers. */
  get rateSharing(): RateSharing {
    return {
      entryCount: this.entryCount,
      isPlaced: (service) => this.isPlaced(service),
      phase: this.entries.computePhase(this.entryId),
    };
  }

  /** Whether the leader places the requests of a service. */
  isPlaced(service: string): boolean {
    const isEngine = this.table?.findService(service)?.isEngine ?? false;
    return (isEngine || this.isBrittle(service)) && this.workers.mechanisms.leaderPlacing;
  }

  /** Whether no server of a service may get more requests than it has slots. */
  isBrittle(service: string): boolean {
    return this.brittleServices.isBrittle(service, this.parts.clock.now());
  }

  /** How long the leader may hold a watch request of this entry, in milliseconds. */
  get watchHoldMs(): number {
    return Math.round(computeWatchHoldMs(this.entryCount));
  }

  /** Builds a watch request to the control leader. */
  buildWatchRequest(holdMs: number): WatchRequest {
    const {
      entryId, callerAddress, zone, clock,
    } = this.parts;
    const now = clock.now();
    return {
      entryId,
      callerAddress,
      zone,
      state: this.state,
      documentDigest: this.documentDigest,
      workersEpoch: this.workersEpoch,
      workersRevision: this.workersRevision,
      holdMs,
      ...this.loadReports.buildPart(this.workers, this.workersEpoch, this.entryCount, now),
      ...this.accounts.buildPart(this.workersEpoch, now),
      ...this.entries.heldVersion,
      ...this.suspects.heldVersion,
      rememberedWorkers: [],
      rememberedSuspects: [],
      limits: listNamedRates(this.workers, now),
      originsRevision: 0,
    };
  }

  /**
   * Applies a reply of the leader.
   *
   * @param sentAt when the request was sent, monotonic milliseconds; the lease starts there
   * @param epoch epoch of the suspension detector when the request was sent
   * @param askedEpoch epoch of the server table that the request named
   */
  applyReply(
    reply: WatchReply,
    sentAt: number,
    epoch: number,
    askedEpoch = this.workersEpoch,
  ): void {
    if (!this.applyDocument(reply)) return;
    this.lastAnsweredSentAt = Math.max(this.lastAnsweredSentAt, sentAt);
    // No lease either: it would be granted for a table that is not applied.
    if (this.heldTable.isOfOtherTable(reply, sentAt, askedEpoch)) return;
    if (!this.heldTable.isOvertaken(reply)) this.applyWorkers(reply, sentAt);
    this.heldTable.confirm(sentAt);
    this.leasedEntryCount = Math.max(1, reply.entryCount);
    setConnectionShares(this.workers, this.table?.routing.services ?? [], this.entryCount);
    applyRateLimits(this.workers, reply.limits, sentAt, this.rateSharing, this.parts.clock.now());
    this.accounts.applyReply(reply, this.parts.clock.now());
    this.replyWaiters.release();
    if (this.documentVersion === NO_DOCUMENT.version) return;
    if (!this.isServing) this.logLeaseGap(reply);
    this.leaseUntil = Math.max(this.leaseUntil, sentAt + reply.leaseMs);
    this.leaseEpoch = epoch;
    this.leaseWaiters.release();
  }

  private logLeaseGap({ leaderAddress: leader, documentVersion: version }: WatchReply): void {
    this.parts.logger.info('lease on the routing document granted after a gap', {
      leader, version, gapMs: Math.round(-this.leaseLeftMs),
    });
  }

  private applyDocument(reply: WatchReply): boolean {
    const version = parseVersion(reply.documentVersion);
    // Versions only increase: this reply was overtaken by a newer one.
    if (version < this.documentVersion) return false;
    if (reply.documentDigest === this.documentDigest) return true;
    const document = this.unpackDocument(reply);
    if (document === '') return false;
    const { routing, faults } = this.parts.readRouting(document);
    if (!routing) {
      this.parts.logger.error('accepted routing document is invalid', { faults: faults.slice(0, 3).join('; ') });
      return false;
    }
    this.table = new RouteTable(routing);
    this.accounts.configure(routing.accounts, this.parts.clock.now());
    this.documentDigest = reply.documentDigest;
    this.documentVersion = version;
    this.parts.logger.info('routing document in force', {
      version: routing.version,
      routes: routing.routes.length,
      leader: reply.leaderAddress,
      // If it is long, replies were late; if it is short, earlier replies lacked this document.
      unansweredMs: Math.round(this.parts.clock.now() - this.lastAnsweredSentAt),
    });
    return true;
  }

  private unpackDocument(reply: WatchReply): string {
    try {
      return readDocument(reply);
    } catch (error) {
      this.parts.logger.error('routing document cannot be unpacked', { reason: (error as Error).message });
      return '';
    }
  }

  private applyWorkers(reply: WatchReply, sentAt: number): void {
    const now = this.parts.clock.now();
    applyRecords(this.workers, reply.workers, now);
    if (this.heldTable.advance(reply, sentAt, now)) resetPlaced(this.workers);
    this.loadReports.applyReply(this.workers, reply);
    this.entries.apply(reply);
    this.suspects.apply(reply, now);
  }
}
