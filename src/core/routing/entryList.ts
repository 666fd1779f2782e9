import type { EntryRecord, WatchReply, WatchRequest } from '../../protocol/generated/beechlift';
import { ListVersion } from './listVersion';

/** The part of a leader's reply that holds the entries. */
export type EntryUpdate = Pick<WatchReply, 'entries' | 'entriesRevision' | 'workersEpoch'>;

/** The part of a watch request that names the held version of the list. */
export type EntryListVersion = Pick<WatchRequest, 'entriesEpoch' | 'entriesRevision'>;

/** Phase of an entry that is not in the list yet. */
const UNLISTED_PHASE = 0.5;

/**
 * The latest list of entries received from the leader of control. Follower replicas and entries
 * hold it, so that callers can be directed to entries also without a leader.
 *
 * @example
 * list.apply(reply);
 * const addresses = selectEntries(list.records, 'az-1', 64);
 */
export class EntryList {
  records: readonly EntryRecord[] = [];

  private readonly version = new ListVersion();

  /** Whether a leader has sent the list. */
  get isReceived(): boolean {
    return this.version.epoch !== '';
  }

  /** Held version, for the next watch request to a leader. */
  get heldVersion(): EntryListVersion {
    return { entriesEpoch: this.version.epoch, entriesRevision: this.version.revision };
  }

  /**
   * Computes the position of an entry in the list, from 0 to 1, by which entries take turns. All
   * entries hold the same list.
   */
  computePhase(entryId: string): number {
    const position = this.records.findIndex(({ id }) => id === entryId);
    return position < 0 ? UNLISTED_PHASE : position / this.records.length;
  }

  /** Applies a leader's update; a reply without the list means that nothing changed. */
  apply({ entries, entriesRevision, workersEpoch }: EntryUpdate): void {
    if (this.version.advance(workersEpoch, entriesRevision)) this.records = entries;
  }
}

/** With at least this many entries in the caller's zone, those in other zones are left out. */
const MIN_SAME_ZONE = 2;

/**
 * Selects the entries that a caller is directed to: those in its own availability zone when there
 * are several, because requests within a zone cost no traffic between zones, and otherwise all.
 *
 * @example
 * const addresses = selectEntries(records, 'az-1', 64);
 */
export const selectEntries = (
  entries: readonly EntryRecord[],
  zone: string,
  limit: number,
): string[] => {
  const sameZone = entries.filter((entry) => entry.zone === zone);
  const selected = sameZone.length >= MIN_SAME_ZONE ? sameZone : entries;
  return selected.slice(0, limit).map(({ callerAddress }) => callerAddress);
};
