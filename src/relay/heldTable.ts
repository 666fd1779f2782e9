import { LEARNING_MS } from '../core/routing/streamPlacement';
import type { WatchReply } from '../protocol/generated/beechlift';

type TableUpdate = Pick<WatchReply, 'workersEpoch' | 'workersRevision'>;

/**
 * Tells which server table of which leader an entry holds, and how fresh it is.
 *
 * @example
 * if (!held.isOvertaken(reply)) held.advance(reply, sentAt, clock.now());
 */
export class HeldTable {
  /** Epoch of the leader's table; empty before the first. */
  epoch = '';

  /** Revision of that table; a later one knows more announcements. */
  revision = 0;

  /** When the watch request was sent whose reply brought the held table. */
  private sentAt = -Infinity;

  /** When the table of the current leader was applied first, monotonic milliseconds. */
  private begunAt = -Infinity;

  /** When the latest watch request was sent whose reply the held table takes into account. */
  private confirmedAt = -Infinity;

  /**
   * Whether the held table contains all that a leader knew at some moment after a time. A lease
   * alone does not ensure that: the table may be as old as the lease is long.
   */
  isConfirmedSince(time: number): boolean {
    return this.confirmedAt >= time;
  }

  /** Whether the leader has led for long enough to have heard of all streams and versions. */
  isSettled(now: number): boolean {
    return now - this.begunAt >= LEARNING_MS;
  }

  /**
   * Whether a reply is about another table, and does not bring a later one.
   *
   * Guards against an older table that makes a leaving server ready again: requests overlap, so
   * replies may arrive in another order than they were built, and from an earlier leader. Changes
   * since a revision apply only to the table that the request named.
   */
  isOfOtherTable({ workersEpoch }: TableUpdate, sentAt: number, askedEpoch: string): boolean {
    if (workersEpoch === this.epoch) return false;
    const isChange = workersEpoch === askedEpoch;
    return isChange || sentAt < this.sentAt;
  }

  /** Whether a later reply of the same leader was applied before. */
  isOvertaken({ workersEpoch, workersRevision }: TableUpdate): boolean {
    return workersEpoch === this.epoch && workersRevision < this.revision;
  }

  /** Records that a reply was applied; returns whether it brought the table of another leader. */
  advance({ workersEpoch, workersRevision }: TableUpdate, sentAt: number, now: number): boolean {
    const isOfNewLeader = workersEpoch !== this.epoch;
    if (isOfNewLeader) this.begunAt = now;
    this.epoch = workersEpoch;
    this.revision = workersRevision;
    this.sentAt = Math.max(this.sentAt, sentAt);
    return isOfNewLeader;
  }

  /** Records that a leader has answered a request about the held table. */
  confirm(sentAt: number): void {
    this.confirmedAt = Math.max(this.confirmedAt, sentAt);
  }
}
