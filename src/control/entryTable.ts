import { isDeepStrictEqual } from 'node:util';
import type {
  EntryRecord, WatchRequest, WorkerLoad,
} from '../protocol/generated/beechlift';

/** What the leader knows of an entry. */
interface KnownEntry {
  request: WatchRequest;
  heardAt: number;
}

/** Bounds the table. */
const MAX_ENTRIES = 2_000;

/**
 * Silence after which callers are not sent to an entry, in milliseconds: three askings, each held
 * for a quarter of a second.
 */
const SILENCE_MS = 900;

/** Silence after which what an entry holds is given to others, in milliseconds. */
const GONE_MS = 2_000;

/**
 * Entries as the leader hears them. Not replicated: a new leader hears them anew.
 *
 * @example
 * entries.note(request, clock.now());
 * const { records } = entries.list(clock.now());
 */
export class EntryTable {
  private readonly entries = new Map<string, KnownEntry>();

  private listed: readonly EntryRecord[] = [];

  private listedRevision = 1;

  /** @param leaseMs an entry that was granted a lease counts for this long, heard or not */
  constructor(private readonly leaseMs: number) {}

  /** Notes that an entry asked. */
  note(request: WatchRequest, now: number): void {
    if (!this.entries.has(request.entryId) && this.entries.size >= MAX_ENTRIES) return;
    this.dropReborn(request);
    this.entries.set(request.entryId, { request, heardAt: now });
  }

  /** Entries that callers may be sent to, and a number that grows when these change. */
  list(now: number): { readonly records: readonly EntryRecord[]; readonly revision: number } {
    const records = this.selectActive(now);
    if (!isDeepStrictEqual(records, this.listed)) {
      this.listed = records;
      this.listedRevision += 1;
    }
    return { records: this.listed, revision: this.listedRevision };
  }

  /** Entries that may hold a lease. */
  countLeased(now: number): number {
    this.forget(now);
    return this.entries.size;
  }

  /** Whether an entry is there: it was heard of late, and no other process took its place. */
  has(entryId: string, now: number): boolean {
    const entry = this.entries.get(entryId);
    return entry !== undefined && now - entry.heardAt <= GONE_MS;
  }

  /** What all entries but one have at each backend server. */
  sumLoads(exceptId: string, now: number): WorkerLoad[] {
    const sums = new Map<string, WorkerLoad & { observers: number }>();
    [...this.entries.values()]
      .filter(({ request, heardAt }) => request.entryId !== exceptId && now - heardAt <= SILENCE_MS)
      .forEach(({ request }) => request.loads.forEach((load) => {
        const sum = sums.get(load.workerId) ?? {
          workerId: load.workerId, inFlight: 0, tokens: 0, slowness: 0, observers: 0,
        };
        sum.inFlight += load.inFlight;
        sum.tokens += load.tokens;
        sum.slowness += load.slowness;
        sum.observers += load.slowness > 0 ? 1 : 0;
        sums.set(load.workerId, sum);
      }));
    return [...sums.values()].map(({ observers, ...sum }) => (
      { ...sum, slowness: Math.round(sum.slowness / Math.max(1, observers)) }));
  }

  private selectActive(now: number): EntryRecord[] {
    return [...this.entries.values()]
      .filter(({ request, heardAt }) => request.state === 'active' && now - heardAt <= SILENCE_MS)
      .map(({ request }) => ({
        id: request.entryId,
        callerAddress: request.callerAddress,
        zone: request.zone,
        state: request.state,
      }));
  }

  /** A process that serves the address of another has taken its place. */
  private dropReborn({ entryId, callerAddress }: WatchRequest): void {
    this.entries.forEach(({ request }, id) => {
      if (id !== entryId && request.callerAddress === callerAddress) this.entries.delete(id);
    });
  }

  private forget(now: number): void {
    this.entries.forEach(({ heardAt }, id) => {
      if (now - heardAt > this.leaseMs) this.entries.delete(id);
    });
  }
}
