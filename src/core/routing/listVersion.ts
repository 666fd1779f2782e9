/** Revision of a leader that does not provide the list yet. */
export const NO_REVISION = 0;

/**
 * Version of the list that is held from a leader. Revisions belong to one leader's tables; another
 * leader counts from the beginning under another epoch.
 *
 * @example
 * if (version.advance(reply.workersEpoch, reply.entriesRevision)) records = reply.entries;
 */
export class ListVersion {
  revision = NO_REVISION;

  /** Identifies the leader's tables that the revision belongs to; empty before the first list. */
  epoch = '';

  /** Advances to a received version; returns false when there is no list or it is not newer. */
  advance(epoch: string, revision: number): boolean {
    if (revision === NO_REVISION) return false;
    // A reply may be overtaken by a newer one of the same leader.
    if (epoch === this.epoch && revision <= this.revision) return false;
    this.epoch = epoch;
    this.revision = revision;
    return true;
  }
}
