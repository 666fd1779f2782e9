/** Revision of a leader that tells no list yet. */
export const NO_REVISION = 0;

/**
 * Which of a leader's lists is held. Revisions count in that leader's tables; another leader begins
 * anew under another epoch.
 *
 * @example
 * if (version.advance(reply.workersEpoch, reply.entriesRevision)) records = reply.entries;
 */
export class ListVersion {
  revision = NO_REVISION;

  /** The leader's tables that the revision counts in; empty before the first list. */
  epoch = '';

  /** Moves on to what a leader told; false where that is no list, or nothing newer. */
  advance(epoch: string, revision: number): boolean {
    if (revision === NO_REVISION) return false;
    // Guards against a reply that was overtaken by a newer one of the same leader.
    if (epoch === this.epoch && revision <= this.revision) return false;
    this.epoch = epoch;
    this.revision = revision;
    return true;
  }
}
