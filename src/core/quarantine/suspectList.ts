import type { SuspectRecord, WatchReply, WatchRequest } from '../../protocol/generated/beechlift';
import { ListVersion } from '../routing/listVersion';

/** The part of a leader's reply that holds the suspect requests. */
export type SuspectUpdate = Pick<WatchReply, 'suspects' | 'suspectsRevision' | 'workersEpoch'>;

/** The part of a watch request that names the held version of the list. */
export type SuspectListVersion = Pick<WatchRequest, 'suspectsEpoch' | 'suspectsRevision'>;

/** A request that the leader watches or refuses. */
export interface ListedSuspect {
  /** Number of servers that crashed while it was open at them. */
  readonly crashCount: number;
  /** Remaining time of its refusal, in milliseconds; 0 while it is only watched. */
  readonly refusedMs: number;
}

interface StoredSuspect {
  readonly record: SuspectRecord;
  readonly refusedUntil: number;
}

/**
 * The latest list of suspect requests received from the leader of control. Entries hold it, so that
 * they refuse these requests also without a leader, and so do follower replicas.
 *
 * @example
 * list.apply(reply, clock.now());
 * const suspect = list.find(fingerprint, clock.now());
 */
export class SuspectList {
  private suspects: ReadonlyMap<string, StoredSuspect> = new Map();

  private readonly version = new ListVersion();

  /** Held version, for the next watch request to a leader. */
  get heldVersion(): SuspectListVersion {
    return { suspectsEpoch: this.version.epoch, suspectsRevision: this.version.revision };
  }

  /** Number of listed suspects. */
  get size(): number {
    return this.suspects.size;
  }

  /** Applies a leader's update; returns false when nothing changed. */
  apply({ suspects, suspectsRevision, workersEpoch }: SuspectUpdate, now: number): boolean {
    if (!this.version.advance(workersEpoch, suspectsRevision)) return false;
    this.suspects = new Map(suspects.map((record) => (
      [record.fingerprint, { record, refusedUntil: now + record.refusedMs }])));
    return true;
  }

  /** Finds a request; undefined when it is not a suspect. */
  find(fingerprint: string, now: number): ListedSuspect | undefined {
    const stored = this.suspects.get(fingerprint);
    return stored && {
      crashCount: stored.record.servers.length,
      refusedMs: Math.max(0, stored.refusedUntil - now),
    };
  }
}
