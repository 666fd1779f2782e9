import type {
  EntryRecord, PlacedReport, PlaceReply, PlaceRequest, WatchReply, WatchRequest,
} from '../protocol/generated/beechlift';
import { AccountLedger } from '../core/routing/accountLedger';
import { NO_LIST } from '../core/routing/entryList';
import type { EntryListHeld } from '../core/routing/entryList';
import { listChangedWorkers } from '../core/routing/workerTable';
import type { WorkerTable } from '../core/routing/workerTable';
import type { RoutedAccount } from '../manifest/routing';
import type { Clock } from '../utils/clock';
import { EntryTable } from './entryTable';
import { PlacementDesk, refuseLimited, STILL_WAITING } from './placementDesk';

/** What a book is made from. */
export interface LeaderBookParts {
  readonly clock: Clock;
  /** How long an entry may rely on what it was told, in milliseconds. */
  readonly leaseMs: number;
  /** What accounts may use beyond their limits, over all entries together. */
  readonly limitSlack: number;
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
export class LeaderBook {
  private readonly entries: EntryTable;

  private readonly ledger: AccountLedger;

  private readonly desk: PlacementDesk;

  /** Revision of the table of backend servers that the desk knows. */
  private deskRevision = 0;

  /** When its replica began to lead, monotonic milliseconds. */
  readonly startedAt: number;

  constructor(private readonly parts: LeaderBookParts) {
    this.startedAt = parts.clock.now();
    this.entries = new EntryTable(parts.leaseMs);
    this.ledger = new AccountLedger(parts.limitSlack);
    this.desk = new PlacementDesk(parts.clock);
  }

  /** Puts the limits of accounts in force. */
  configureAccounts(accounts: readonly RoutedAccount[]): void {
    this.ledger.configure(accounts, this.parts.clock.now());
  }

  /** Notes that an entry asked, and what it let through. */
  noteEntry(request: WatchRequest): void {
    const now = this.parts.clock.now();
    this.entries.note(request, now);
    this.ledger.noteSpends(request.entryId, request.spends, now);
  }

  /** Entries that callers may be sent to. */
  listEntries(): readonly EntryRecord[] {
    return this.entries.list(this.parts.clock.now()).records;
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
  buildListPart({ entriesEpoch, entriesRevision }: EntryListHeld, epoch: string): EntryListPart {
    const now = this.parts.clock.now();
    const isOwn = entriesEpoch === epoch;
    const isSettling = now - this.startedAt < SETTLE_MS;
    if (isSettling && !isOwn && entriesEpoch !== '') return { entries: [], entriesRevision: NO_LIST };
    const { records, revision } = this.entries.list(now);
    const isSame = isOwn && revision === entriesRevision;
    return { entries: isSame ? [] : [...records], entriesRevision: revision };
  }

  /** What an entry is told beside the document and the backend servers. */
  buildEntryPart({ entryId }: WatchRequest): EntryPart {
    const now = this.parts.clock.now();
    const entryCount = this.entries.countLeased(now);
    return {
      loads: this.entries.sumLoads(entryId, now),
      grants: this.ledger.listGrants(entryId, entryCount, now),
      entryCount,
    };
  }

  /** Decides which backend servers take requests; a reply may be that it still waits. */
  async place(
    requests: readonly PlaceRequest[],
    workers: WorkerTable,
  ): Promise<PlaceReply[]> {
    this.informDesk(workers);
    const limited = new Map(requests.flatMap((request) => {
      const reply = this.charge(request);
      return reply ? [[request.placeId, reply] as const] : [];
    }));
    const allowed = requests.filter(({ placeId }) => !limited.has(placeId));
    const placed = await this.placeAllowed(allowed, limited.size > 0);
    return requests.map(({ placeId }) => (
      limited.get(placeId) ?? placed.get(placeId) ?? STILL_WAITING));
  }

  private async placeAllowed(
    requests: readonly PlaceRequest[],
    hasNews: boolean,
  ): Promise<Map<string, PlaceReply>> {
    if (requests.length === 0) return new Map();
    const replies = await this.desk.place(requests, hasNews);
    return new Map(requests.map((request, position) => {
      const reply = replies[position] ?? STILL_WAITING;
      // What is refused has used nothing.
      if (reply.code !== 0) this.ledger.refund(request.account, request.cost);
      return [request.placeId, reply];
    }));
  }

  /** Charges a request that has not been heard of; the refusal when its limit does not allow it. */
  private charge({ account, cost, placeId }: PlaceRequest): PlaceReply | undefined {
    if (this.desk.hasHeard(placeId)) return undefined;
    const waitMs = this.ledger.charge(account, cost, this.parts.clock.now());
    if (waitMs <= 0) return undefined;
    return refuseLimited(`account "${account}" is beyond its limit`, Math.ceil(waitMs));
  }

  /** Requests that wait for a slot, and those that hold one. */
  countRequests(): { readonly waiting: number; readonly placed: number } {
    return this.desk.countRequests();
  }

  /** Takes in how placed requests go. */
  report(reports: readonly PlacedReport[]): void {
    this.desk.report(reports);
  }

  /** Brings what is kept up to what is known of backend servers and entries. */
  tend(workers: WorkerTable): void {
    const now = this.parts.clock.now();
    this.informDesk(workers);
    this.desk.applyLoads(this.entries.sumLoads('', now));
    this.desk.tick((entryId) => this.entries.has(entryId, now));
  }

  /** Lets all go that wait, when another replica leads. */
  close(): void {
    this.desk.close();
  }

  private informDesk(workers: WorkerTable): void {
    const { epoch, revision } = workers;
    if (this.deskRevision === revision) return;
    this.desk.applyRecords(listChangedWorkers(workers, epoch, this.deskRevision));
    this.deskRevision = revision;
  }
}
