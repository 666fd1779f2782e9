import type { EntryRecord, WatchReply, WatchRequest } from '../../protocol/generated/beechlift';
import { ListVersion } from './listVersion';

/** The part of a leader's reply that tells the entries. */
export type EntryUpdate = Pick<WatchReply, 'entries' | 'entriesRevision' | 'workersEpoch'>;

/** The part of a question that tells which list is held. */
export type EntryListVersion = Pick<WatchRequest, 'entriesEpoch' | 'entriesRevision'>;

/**
 * The entries that callers may be sent to, as the leader of control last told them: held by the
 * replicas that follow and by the entries, so that callers find the site while no leader is there.
 *
 * @example
 * list.apply(reply);
 * const addresses = pickEntries(list.records, 'az-1', 64);
 */
export class EntryList {
  records: readonly EntryRecord[] = [];

  private readonly version = new ListVersion();

  /** What is held, for the next question to a leader. */
  get heldVersion(): EntryListVersion {
    return { entriesEpoch: this.version.epoch, entriesRevision: this.version.revision };
  }

  /** Takes in what the leader told; a reply without the list says that nothing changed. */
  apply({ entries, entriesRevision, workersEpoch }: EntryUpdate): void {
    if (this.version.advance(workersEpoch, entriesRevision)) this.records = entries;
  }
}

/** Fewest entries of the caller's own availability zone that are named without the others. */
const MIN_SAME_ZONE = 2;

/**
 * Picks the entries that a caller is told of: those of its own availability zone when there are
 * several, as that is where requests cost no bytes between zones, and otherwise all.
 *
 * @example
 * const addresses = pickEntries(records, 'az-1', 64);
 */
export const selectEntries = (
  entries: readonly EntryRecord[],
  zone: string,
  limit: number,
): string[] => {
  const sameZone = entries.filter((entry) => entry.zone === zone);
  const picked = sameZone.length >= MIN_SAME_ZONE ? sameZone : entries;
  return picked.slice(0, limit).map(({ callerAddress }) => callerAddress);
};
