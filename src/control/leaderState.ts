import type {
  EntryRecord, PlaceNews, PlaceRequest, WatchReply, WatchRequest,
} from '../protocol/generated/beechlift';
import { NO_RESTRICTION } from '../core/quarantine/placementRestriction';
import { AccountLedger } from '../core/routing/accountLedger';
import type { EntryListVersion } from '../core/routing/entryList';
import { NO_REVISION } from '../core/routing/listVersion';
import type { Mechanisms } from '../core/routing/mechanisms';
import { listChangedWorkers } from '../core/routing/workerTable';
import type { WorkerTable } from '../core/routing/workerTable';
import { resultCodes } from '../errors/resultCodes';
import type { RoutedAccount } from '../manifest/routing';
import type { Clock } from '../utils/clock';
import { EntryTable, ENTRY_TIMEOUT_MS } from './entryTable';
import { PlacementService } from './placementService';
import { PlacementStream } from './placementStream';
import type { PlacementSink } from './placementStream';
import type { SuspectRegistry } from './suspectRegistry';

/** What a book is made from. */
export interface LeaderStateParts {
  readonly clock: Clock;
  /** How long an entry may rely on what it was told, in milliseconds. */
  readonly leaseMs: number;
  /** What accounts may use beyond their limits, over all entries together. */
  readonly limitSlack: number;
  /** Hears which servers ended under which requests; without it none is suspected. */
  readonly suspects?: Pick<SuspectRegistry, 'take' | 'findCaution'> | undefined;
  /** All are on where none are named. */
  readonly mechanisms?: Mechanisms | undefined;
}

/** The part of an answer that only entries need. */
export type EntryPart = Pick<WatchReply, 'loads' | 'grants' | 'entryCount'>;

/** Time in which all entries ask a new leader, in milliseconds: two of the questions it holds. */
const SETTLE_MS = 500;

/** What a reply says of the entries that callers may be sent to. */
export type EntryListPart = Pick<WatchReply, 'entries' | 'entriesRevision'>;

/**
 * What a leader keeps for its time: the entries that it hears, what is left of limits, and who
 * holds which slot. None of it is replicated; the next leader begins a book of its own.
 *
 * @example
 * const book = new LeaderBook(parts);
 * book.configureAccounts(routing.accounts);
 */
export class LeaderState {
  private readonly entries: EntryTable;

  private readonly ledger: AccountLedger;

  private readonly placementService: PlacementService;

  private readonly streams = new Set<PlacementStream>();

  /** Revision of the table of backend servers that the desk knows. */
  private appliedRevision = 0;

  /** When its replica began to lead, monotonic milliseconds. */
  readonly startedAt: number;

  constructor(private readonly parts: LeaderStateParts) {
    this.startedAt = parts.clock.now();
    this.entries = new EntryTable(parts.leaseMs);
    this.ledger = new AccountLedger(parts.limitSlack);
    this.placementService = new PlacementService({
      clock: parts.clock,
      mechanisms: parts.mechanisms,
      findRestriction: (fingerprint) => parts.suspects?.findCaution(fingerprint) ?? NO_RESTRICTION,
      handleUnplaced: ({ account, cost }) => this.ledger.refund(account, cost),
    });
  }

  /** Puts the limits of accounts in force. */
  configureAccounts(accounts: readonly RoutedAccount[]): void {
    this.ledger.configure(accounts, this.parts.clock.now());
  }

  /** Notes that an entry asked, and what it let through. */
  recordEntry(request: WatchRequest): void {
    const now = this.parts.clock.now();
    this.entries.record(request, now);
    this.ledger.recordSpends(request.entryId, request.spends, now);
  }

  /** Entries that may hold a lease, which ask here all the time. */
  countEntries(): number {
    return this.entries.countLeased(this.parts.clock.now());
  }

  /** Entries that callers may be sent to. */
  listEntries(): readonly EntryRecord[] {
    return this.entries.listActive(this.parts.clock.now()).records;
  }

  /**
   * The entries for an asker that holds a list; none when it holds the same.
   *
   * Guards callers against a leader that has just begun and has heard from few entries: they would
   * all be sent to these. Who holds the list of the leader before keeps it until all had the time
   * to ask. The list's own epoch tells whose it is, as two leaders may come to the same revision.
   *
   * @param epoch names this leader's tables
   */
  buildEntryListPart({ entriesEpoch, entriesRevision }: EntryListVersion, epoch: string): EntryListPart {
    const now = this.parts.clock.now();
    const isOwn = entriesEpoch === epoch;
    const isSettling = now - this.startedAt < SETTLE_MS;
    if (isSettling && !isOwn && entriesEpoch !== '') return { entries: [], entriesRevision: NO_REVISION };
    const { records, revision } = this.entries.listActive(now);
    const isSame = isOwn && revision === entriesRevision;
    return { entries: isSame ? [] : [...records], entriesRevision: revision };
  }

  /** What an entry is told beside the document and the backend servers. */
  buildEntryPart({ entryId }: WatchRequest): EntryPart {
    const now = this.parts.clock.now();
    const entryCount = this.countEntries();
    return {
      loads: this.entries.sumLoads(entryId, now),
      grants: this.ledger.listGrants(entryId, entryCount, now),
      entryCount,
    };
  }

  /** Opens the line to an entry that asks for places, for as long as its stream lasts. */
  openStream(sink: PlacementSink): PlacementStream {
    const stream = new PlacementStream(sink, this.parts.clock);
    this.streams.add(stream);
    return stream;
  }

  /** Takes in a message of an entry's stream. */
  handleMessage(stream: PlacementStream, message: PlaceNews, workers: WorkerTable): void {
    if (!stream.isOpen) return;
    this.applyWorkerChanges(workers);
    stream.acknowledge(message.number, message.requests.length > 0);
    // Before the slots that became free are given out anew.
    this.parts.suspects?.take(message);
    this.placementService.applyReports(message.reports);
    if (message.entryId !== '') {
      stream.entryId = message.entryId;
      this.placementService.releaseUnheld(message.entryId, message.held);
    }
    this.placementService.requestSlots(message.requests.filter((request) => this.charge(request, stream)), stream);
  }

  /** Ends the line to an entry. */
  closeStream(stream: PlacementStream): void {
    this.streams.delete(stream);
    this.placementService.closeStream(stream);
  }

  /** Charges a request to its account; refuses it when the account's limit does not allow it. */
  private charge(request: PlaceRequest, stream: PlacementStream): boolean {
    const {
      account, cost, rank, placeId,
    } = request;
    // One that waits already was charged: its entry opened another stream before this one's end.
    if (this.placementService.isWaiting(placeId)) return true;
    const waitMs = this.ledger.charge(account, cost, rank, this.parts.clock.now());
    if (waitMs <= 0) return true;
    stream.add({
      placeId,
      code: resultCodes.accountLimited.number,
      message: `account "${account}" is beyond its limit`,
      workerId: '',
      retryAfterMs: Math.ceil(waitMs),
      expectedMs: 0,
    });
    return false;
  }

  /** Requests that wait for a slot, and those that hold one. */
  countRequests(): { readonly waiting: number; readonly placed: number } {
    return this.placementService.countRequests();
  }

  /** Brings what is kept up to what is known of backend servers and entries. */
  refresh(workers: WorkerTable): void {
    const now = this.parts.clock.now();
    this.applyWorkerChanges(workers);
    [...this.streams]
      .filter((stream) => this.hasTimedOut(stream, now))
      .forEach((stream) => this.closeStream(stream));
    this.placementService.applyLoads(this.entries.sumLoads('', now));
    this.placementService.tick((entryId) => this.entries.has(entryId, now));
  }

  /** Ends all lines, when another replica leads: the entries ask there. */
  close(): void {
    [...this.streams].forEach((stream) => this.closeStream(stream));
  }

  /*
   * Guards the slots of engines against an entry that lost its power: its connection stays open,
   * and its requests that wait would be given the slots that become free.
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
