import { isDeepStrictEqual } from 'node:util';
import type {
  EntryRecord, WatchRequest, WorkerLoad,
} from '../protocol/generated/beechlift';
import { computeEntryTimeoutMs } from '../core/routing/messageIntervals';
import { LoadSums } from './loadSums';

/** State of one entry on the leader. */
interface TrackedEntry {
  /** Its last report, without its loads. */
  readonly record: EntryRecord;
  lastSeenAt: number;
  /** Whether it sent a request recently, so that it accepts callers and its loads count. */
  isResponsive: boolean;
}

/** Bounds the memory that the table uses. */
const MAX_ENTRIES = 2_000;

/** Time without a request after which the slots of an entry are freed, in milliseconds. */
export const ENTRY_TIMEOUT_MS = 2_000;

/** Interval of the check for unresponsive entries, in milliseconds; far below the timeout. */
const EXPIRE_MS = 25;

const formatSpeedsKey = (entryId: string): string => `${entryId} speeds`;

const isSame = (a: EntryRecord, b: EntryRecord): boolean => (
  a.state === b.state && a.callerAddress === b.callerAddress && a.zone === b.zone);

/**
 * Entries that send watch requests to the leader. The table is not replicated: a new leader builds
 * its own from the requests it receives.
 *
 * Totals over all entries are updated with each request, so that a reply costs the same for five
 * entries and for three hundred.
 *
 * @example
 * entries.record(request, clock.now());
 * const { records } = entries.listActive(clock.now());
 */
export class EntryTable {
  private readonly entries = new Map<string, TrackedEntry>();

  /** Loads and speeds, each of which an entry reports by itself. */
  private readonly loads = new LoadSums();

  private activeRecords: readonly EntryRecord[] = [];

  private activeRevision = 1;

  private isListStale = false;

  private lastExpiryAt = -Infinity;

  /** @param leaseMs how long an entry counts as a lease holder after its last request */
  constructor(private readonly leaseMs: number) {}

  /** Records a watch request of an entry. */
  record(request: WatchRequest, now: number): void {
    const {
      entryId, callerAddress, zone, state,
    } = request;
    const previous = this.entries.get(entryId);
    if (!previous && this.entries.size >= MAX_ENTRIES) return;
    if (!previous) this.removePredecessor(callerAddress);
    const record = {
      id: entryId, callerAddress, zone, state,
    };
    this.isListStale ||= !previous?.isResponsive || !isSame(previous.record, record);
    this.entries.set(entryId, { record, lastSeenAt: now, isResponsive: true });
    this.loads.set(entryId, request.loads);
    if (request.speeds.length > 0) this.loads.set(formatSpeedsKey(entryId), request.speeds);
  }

  /** Lists the entries that accept callers; the revision increases when the list changes. */
  listActive(now: number): { readonly records: readonly EntryRecord[]; readonly revision: number } {
    this.expire(now);
    if (this.isListStale) this.buildList();
    return { records: this.activeRecords, revision: this.activeRevision };
  }

  /** Counts the entries that may hold a lease. */
  countLeased(now: number): number {
    this.expire(now);
    return this.entries.size;
  }

  /** Whether an entry sent a request recently, and no later process has taken its address. */
  has(entryId: string, now: number): boolean {
    const entry = this.entries.get(entryId);
    return entry !== undefined && now - entry.lastSeenAt <= ENTRY_TIMEOUT_MS;
  }

  /** Sums the loads of all entries at each backend server. */
  sumLoads(now: number): WorkerLoad[] {
    this.expire(now);
    return this.loads.list();
  }

  private buildList(): void {
    this.isListStale = false;
    const listed = this.listByState('active');
    // If no entry reaches a server, the servers are down: callers still need addresses.
    const records = listed.length > 0 ? listed : this.listByState('cutOff');
    if (isDeepStrictEqual(records, this.activeRecords)) return;
    this.activeRecords = records;
    this.activeRevision += 1;
  }

  private listByState(state: string): EntryRecord[] {
    return [...this.entries.values()]
      .filter(({ record, isResponsive }) => isResponsive && record.state === state)
      .map(({ record }) => record);
  }

  /** Removes an earlier process that served the same address. */
  private removePredecessor(callerAddress: string): void {
    this.entries.forEach(({ record }, id) => {
      if (record.callerAddress === callerAddress) this.remove(id);
    });
  }

  /** Marks entries without recent requests, and removes those whose lease is over. */
  private expire(now: number): void {
    if (now - this.lastExpiryAt < EXPIRE_MS) return;
    this.lastExpiryAt = now;
    const timeoutMs = computeEntryTimeoutMs(this.entries.size);
    this.entries.forEach((entry, id) => {
      const silentMs = now - entry.lastSeenAt;
      if (silentMs > this.leaseMs) this.remove(id);
      else if (entry.isResponsive && silentMs > timeoutMs) this.markUnresponsive(id, entry);
    });
  }

  private markUnresponsive(id: string, entry: TrackedEntry): void {
    entry.isResponsive = false;
    this.isListStale = true;
    this.removeLoads(id);
  }

  private removeLoads(id: string): void {
    this.loads.remove(id);
    this.loads.remove(formatSpeedsKey(id));
  }

  private remove(id: string): void {
    this.entries.delete(id);
    this.isListStale = true;
    this.removeLoads(id);
  }
}
