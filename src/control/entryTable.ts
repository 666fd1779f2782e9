import { isDeepStrictEqual } from 'node:util';
import type {
  EntryRecord, WatchRequest, WorkerLoad,
} from '../protocol/generated/beechlift';
import { computeEntryTimeoutMs } from '../core/routing/messageIntervals';
import { LoadSums } from './loadSums';

/** What the leader knows of an entry. */
interface TrackedEntry {
  /** What it said last, but for its loads. */
  readonly record: EntryRecord;
  receivedAt: number;
  /** Whether it was heard of late, so that callers may be sent to it and its loads count. */
  isResponsive: boolean;
}

/** Bounds the table. */
const MAX_ENTRIES = 2_000;

/** Silence after which what an entry holds is given to others, in milliseconds. */
export const ENTRY_TIMEOUT_MS = 2_000;

/** How often silent entries are looked for, in milliseconds: a small part of the silence. */
const EXPIRE_MS = 25;

const isSame = (a: EntryRecord, b: EntryRecord): boolean => (
  a.state === b.state && a.callerAddress === b.callerAddress && a.zone === b.zone);

/**
 * Entries as the leader hears them. Not replicated: a new leader hears them anew.
 *
 * What all of them add up to is kept up as they are heard, so that an answer to one costs the same
 * beside five entries and beside three hundred.
 *
 * @example
 * entries.note(request, clock.now());
 * const { records } = entries.list(clock.now());
 */
export class EntryTable {
  private readonly entries = new Map<string, TrackedEntry>();

  private readonly loads = new LoadSums();

  private activeRecords: readonly EntryRecord[] = [];

  private activeRevision = 1;

  private isListStale = false;

  private lastExpiryAt = -Infinity;

  /** @param leaseMs an entry that was granted a lease counts for this long, heard or not */
  constructor(private readonly leaseMs: number) {}

  /** Notes that an entry asked. */
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
    this.entries.set(entryId, { record, receivedAt: now, isResponsive: true });
    this.loads.set(entryId, request.loads);
  }

  /** Entries that callers may be sent to, and a number that grows when these change. */
  listActive(now: number): { readonly records: readonly EntryRecord[]; readonly revision: number } {
    this.expire(now);
    if (this.isListStale) this.buildList();
    return { records: this.activeRecords, revision: this.activeRevision };
  }

  /** Entries that may hold a lease. */
  countLeased(now: number): number {
    this.expire(now);
    return this.entries.size;
  }

  /** Whether an entry is there: it was heard of late, and no other process took its place. */
  has(entryId: string, now: number): boolean {
    const entry = this.entries.get(entryId);
    return entry !== undefined && now - entry.receivedAt <= ENTRY_TIMEOUT_MS;
  }

  /** What all entries but one have at each backend server. */
  sumLoads(exceptId: string, now: number): WorkerLoad[] {
    this.expire(now);
    return this.loads.sum(exceptId);
  }

  private buildList(): void {
    this.isListStale = false;
    const records = [...this.entries.values()]
      .filter(({ record, isResponsive: isResponsive }) => isResponsive && record.state === 'active')
      .map(({ record }) => record);
    if (isDeepStrictEqual(records, this.activeRecords)) return;
    this.activeRecords = records;
    this.activeRevision += 1;
  }

  /** A process that serves the address of another has taken its place. */
  private removePredecessor(callerAddress: string): void {
    this.entries.forEach(({ record }, id) => {
      if (record.callerAddress === callerAddress) this.remove(id);
    });
  }

  /** Sets silent entries aside, and forgets those whose lease is over. */
  private expire(now: number): void {
    if (now - this.lastExpiryAt < EXPIRE_MS) return;
    this.lastExpiryAt = now;
    const timeoutMs = computeEntryTimeoutMs(this.entries.size);
    this.entries.forEach((entry, id) => {
      const silentMs = now - entry.receivedAt;
      if (silentMs > this.leaseMs) this.remove(id);
      else if (entry.isResponsive && silentMs > timeoutMs) this.markUnresponsive(id, entry);
    });
  }

  private markUnresponsive(id: string, entry: TrackedEntry): void {
    entry.isResponsive = false;
    this.isListStale = true;
    this.loads.remove(id);
  }

  private remove(id: string): void {
    this.entries.delete(id);
    this.isListStale = true;
    this.loads.remove(id);
  }
}
