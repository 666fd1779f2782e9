import type { EntryRecord, WatchReply, WatchRequest } from '../protocol/generated/beechlift';
import { SuspectList } from '../core/quarantine/suspectList';
import { AccountBudget } from '../core/routing/accountBudget';
import { EntryList } from '../core/routing/entryList';
import type { Mechanisms } from '../core/routing/mechanisms';
import { computeWatchHoldMs } from '../core/routing/messageIntervals';
import { RetryBudget } from '../core/routing/retryBudget';
import type { RetryBounds } from '../core/routing/retryBudget';
import {
  applyLoads, applyRecords, resetPlaced, listLoads, makeRoutedWorkers, setConnectionShares,
} from '../core/routing/routedWorkers';
import type { RoutedWorkers } from '../core/routing/routedWorkers';
import { RouteTable } from '../core/routing/routeTable';
import type { RoutingReader } from '../manifest/routing';
import type { Logger } from '../telemetry/logger';
import type { Clock, SuspensionWatch } from '../utils/clock';
import { HeldCalls } from '../utils/heldCalls';
import { readDocument } from './readDocument';

/** What an entry does at present, as control and the readiness check see it. */
export type RelayState = 'starting' | 'active' | 'leaving';

/** Requests that wait for a lease, at most: beyond it they are refused at once. */
const MAX_LEASE_WAITERS = 500;

/** What a relay site is made from. */
export interface RelaySiteParts {
  readonly entryId: string;
  readonly callerAddress: string;
  readonly zone: string;
  readonly readRouting: RoutingReader;
  readonly clock: Clock;
  readonly suspension: SuspensionWatch;
  readonly logger: Logger;
  readonly retryBounds: RetryBounds;
  /** All are on where none are named. */
  readonly mechanisms?: Mechanisms;
}

/**
 * What an entry of a routed site knows, and until when it may rely on it.
 *
 * Guards against serving what a newer document forbids: without a lease that was asked for recently
 * enough, or after the machine may have been suspended, the entry takes no new requests.
 *
 * @example
 * site.applyReply(reply, sentAt, epoch);
 * if (!site.isServing) refuse('configurationStale');
 */
export class RelaySite {
  table: RouteTable | undefined;

  readonly workers: RoutedWorkers;

  readonly budget = new AccountBudget();

  private readonly entries = new EntryList();

  readonly retries: RetryBudget;

  /** Requests that are known to end backend servers. */
  readonly suspects = new SuspectList();

  /** When this entry ends, monotonic milliseconds. */
  private endsAt = Infinity;

  private documentDigest = '';

  /** The leader's table of backend servers that is held here. */
  workersEpoch = '';

  private workersRevision = 0;

  private leaseUntil = 0;

  /** When the last question left that was answered, monotonic milliseconds. */
  private lastAnsweredSentAt = 0;

  private leaseEpoch = -1;

  private leasedEntryCount = 1;

  private readonly leaseWaiters = new HeldCalls();

  constructor(private readonly parts: RelaySiteParts) {
    this.workers = makeRoutedWorkers(parts.mechanisms);
    this.retries = new RetryBudget(parts.retryBounds, () => this.entryCount);
  }

  /** Names this start of the entry. */
  get entryId(): string {
    return this.parts.entryId;
  }

  /** Availability zone of this entry. */
  get zone(): string {
    return this.parts.zone;
  }

  /** Whether new requests may be taken. */
  get isServing(): boolean {
    const { clock, suspension } = this.parts;
    return this.table !== undefined
      && clock.now() < this.leaseUntil
      && suspension.readEpoch() === this.leaseEpoch;
  }

  /**
   * Waits until new requests may be taken; resolves after the time also when they may not.
   *
   * @example
   * await site.waitServing(300);
   */
  waitServing(maxMs: number): Promise<void> {
    if (this.isServing || this.leaseWaiters.size >= MAX_LEASE_WAITERS) return Promise.resolve();
    return this.leaseWaiters.hold(maxMs);
  }

  /** Whether this entry shuts down: callers are sent elsewhere. */
  get isLeaving(): boolean {
    return this.endsAt !== Infinity;
  }

  /** Milliseconds that are left for answers; Infinity unless this entry shuts down. */
  get remainingMs(): number {
    return this.endsAt - this.parts.clock.now();
  }

  /**
   * Begins to shut down.
   *
   * @param endsAt when the last answer must have ended, monotonic milliseconds
   */
  beginLeaving(endsAt: number): void {
    this.endsAt = endsAt;
  }

  /** What control and readiness checks are told. */
  get state(): RelayState {
    if (this.isLeaving) return 'leaving';
    return this.isServing && this.workersEpoch !== '' ? 'active' : 'starting';
  }

  /**
   * Entries that callers may be sent to; none while this entry cannot tell. Not this one from the
   * moment at which it begins to leave, before the leader has heard of it.
   */
  listEntries(): readonly EntryRecord[] {
    if (!this.isServing) return [];
    return this.entries.records.filter(({ id }) => !(this.isLeaving && id === this.entryId));
  }

  /** Entries that hold a lease, this one included. */
  get entryCount(): number {
    return this.leasedEntryCount;
  }

  /** How long the leader may hold a question of this entry, in milliseconds. */
  get watchHoldMs(): number {
    return Math.round(computeWatchHoldMs(this.entryCount));
  }

  /** What the leader of control is asked with. */
  buildWatchRequest(holdMs: number): WatchRequest {
    const {
      entryId, callerAddress, zone, clock,
    } = this.parts;
    return {
      entryId,
      callerAddress,
      zone,
      state: this.state,
      documentDigest: this.documentDigest,
      workersEpoch: this.workersEpoch,
      workersRevision: this.workersRevision,
      holdMs,
      loads: listLoads(this.workers),
      spends: this.budget.listSpends(clock.now()),
      ...this.entries.heldVersion,
      ...this.suspects.heldVersion,
      rememberedWorkers: [],
      rememberedSuspects: [],
    };
  }

  /**
   * Takes in what the leader told.
   *
   * @param sentAt when the request left, monotonic milliseconds: the lease counts from there
   * @param epoch of the suspension watch when it left
   */
  applyReply(reply: WatchReply, sentAt: number, epoch: number): void {
    if (!this.applyDocument(reply)) return;
    this.lastAnsweredSentAt = Math.max(this.lastAnsweredSentAt, sentAt);
    this.applyWorkers(reply);
    this.leasedEntryCount = Math.max(1, reply.entryCount);
    setConnectionShares(this.workers, this.table?.routing.services ?? [], this.entryCount);
    this.budget.applyGrants(reply.grants, this.parts.clock.now());
    if (reply.documentVersion === 0) return;
    this.leaseUntil = Math.max(this.leaseUntil, sentAt + reply.leaseMs);
    this.leaseEpoch = epoch;
    this.leaseWaiters.release();
  }

  private applyDocument(reply: WatchReply): boolean {
    const currentVersion = this.table?.routing.version ?? 0;
    // Guards against a reply that was overtaken: versions only go up.
    if (reply.documentVersion < currentVersion) return false;
    if (reply.documentDigest === this.documentDigest) return true;
    const document = this.unpackDocument(reply);
    if (document === '') return false;
    const { routing, faults } = this.parts.readRouting(document);
    if (!routing) {
      this.parts.logger.error('accepted document cannot be read', { faults: faults.slice(0, 3).join('; ') });
      return false;
    }
    this.table = new RouteTable(routing);
    this.documentDigest = reply.documentDigest;
    this.parts.logger.info('document in force', {
      version: routing.version,
      routes: routing.routes.length,
      // Long where answers came late; short where they came without the document.
      unansweredMs: Math.round(this.parts.clock.now() - this.lastAnsweredSentAt),
    });
    return true;
  }

  private unpackDocument(reply: WatchReply): string {
    try {
      return readDocument(reply);
    } catch (error) {
      this.parts.logger.error('document cannot be unpacked', { reason: (error as Error).message });
      return '';
    }
  }

  private applyWorkers(reply: WatchReply): void {
    applyRecords(this.workers, reply.workers);
    if (reply.workersEpoch !== this.workersEpoch) resetPlaced(this.workers);
    applyLoads(this.workers, reply.loads);
    this.entries.apply(reply);
    this.suspects.apply(reply, this.parts.clock.now());
    this.workersEpoch = reply.workersEpoch;
    this.workersRevision = reply.workersRevision;
  }
}
