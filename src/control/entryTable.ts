import { isDeepStrictEqual } from 'node:util';
import type {
  EntryRecord, WatchRequest, WorkerLoad,
} from '../protocol/generated/beechlift';
import { computeEntryTimeoutMs } from '../core/routing/messageIntervals';
import { LoadSums } from './loadSums';

/** What the leader knows of an entry. */
interface KnownEntry {
  /** What it said last, but for its loads. */
  readonly record: EntryRecord;
  heardAt: number;
  /** Whether it was heard of late, so that callers may be sent to it and its loads count. */
  isHeard: boolean;
}

/** Bounds the table. */
const MAX_ENTRIES = 2_000;

/** Silence after which what an entry holds is given to others, in milliseconds. */
export const GONE_MS = 2_000;

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
  private readonly entries = new Map<string, KnownEntry>();

  private readonly loads = new LoadSums();

  private listed: readonly EntryRecord[] = [];

  private listedRevision = 1;

  private isListOld = false;

  private expiredAt = -Infinity;

  /** @param leaseMs an entry that was granted a lease counts for this long, heard or not */
  constructor(private readonly leaseMs: number) {}

  /** Notes that an entry asked. */
  note(request: WatchRequest, now: number): void {
    const {
      entryId, callerAddress, zone, state,
    } = request;
    const known = this.entries.get(entryId);
    if (!known && this.entries.size >= MAX_ENTRIES) return;
    if (!known) this.dropReborn(callerAddress);
    const record = {
      id: entryId, callerAddress, zone, state,
    };
    this.isListOld ||= !known?.isHeard || !isSame(known.record, record);
    this.entries.set(entryId, { record, heardAt: now, isHeard: true });
    this.loads.set(entryId, request.loads);
  }

  /** Entries that callers may be sent to, and a number that grows when these change. */
  list(now: number): { readonly records: readonly EntryRecord[]; readonly revision: number } {
    this.expire(now);
    if (this.isListOld) this.renewList();
    return { records: this.listed, revision: this.listedRevision };
  }

  /** Entries that may hold a lease. */
  countLeased(now: number): number {
    this.expire(now);
    return this.entries.size;
  }

  /** Whether an entry is there: it was heard of late, and no other process took its place. */
  has(entryId: string, now: number): boolean {
    const entry = this.entries.get(entryId);
    return entry !== undefined && now - entry.heardAt <= GONE_MS;
  }

  /** What all entries but one have at each backend server. */
  sumLoads(exceptId: string, now: number): WorkerLoad[] {
    this.expire(now);
    return this.loads.sum(exceptId);
  }

  private renewList(): void {
    this.isListOld = false;
    const records = [...this.entries.values()]
      .filter(({ record, isHeard }) => isHeard && record.state === 'active')
      .map(({ record }) => record);
    if (isDeepStrictEqual(records, this.listed)) return;
    this.listed = records;
    this.listedRevision += 1;
  }

  /** A process that serves the address of another has taken its place. */
  private dropReborn(callerAddress: string): void {
    this.entries.forEach(({ record }, id) => {
      if (record.callerAddress === callerAddress) this.drop(id);
    });
  }

  /** Sets silent entries aside, and forgets those whose lease is over. */
  private expire(now: number): void {
    if (now - this.expiredAt < EXPIRE_MS) return;
    this.expiredAt = now;
    const mostSilentMs = computeEntryTimeoutMs(this.entries.size);
    this.entries.forEach((entry, id) => {
      const silentMs = now - entry.heardAt;
      if (silentMs > this.leaseMs) this.drop(id);
      else if (entry.isHeard && silentMs > mostSilentMs) this.setAside(id, entry);
    });
  }

  private setAside(id: string, entry: KnownEntry): void {
    entry.isHeard = false;
    this.isListOld = true;
    this.loads.drop(id);
  }

  private drop(id: string): void {
    this.entries.delete(id);
    this.isListOld = true;
    this.loads.drop(id);
  }
}
