import type { SuspectRecord, WatchReply, WatchRequest } from '../../protocol/generated/beechlift';
import { ListVersion } from '../routing/listVersion';

/** The part of a leader's reply that tells the suspect requests. */
export type SuspectUpdate = Pick<WatchReply, 'suspects' | 'suspectsRevision' | 'workersEpoch'>;

/** The part of a question that tells which list is held. */
export type SuspectListVersion = Pick<WatchRequest, 'suspectsEpoch' | 'suspectsRevision'>;

/** A request that the leader watches or refuses. */
export interface ListedSuspect {
  /** Servers that ended under it. */
  readonly crashCount: number;
  /** What is left of its refusal, in milliseconds; 0 while it is only watched. */
  readonly refusedMs: number;
}

interface StoredSuspect {
  readonly record: SuspectRecord;
  readonly refusedUntil: number;
}

/**
 * The suspect requests as the leader of control last told them: held by entries, which refuse them
 * also while no leader is there, and by replicas that follow.
 *
 * @example
 * list.apply(reply, clock.now());
 * const suspect = list.find(fingerprint, clock.now());
 */
export class SuspectList {
  private suspects: ReadonlyMap<string, StoredSuspect> = new Map();

  private readonly version = new ListVersion();

  /** What is held, for the next question to a leader. */
  get heldVersion(): SuspectListVersion {
    return { suspectsEpoch: this.version.epoch, suspectsRevision: this.version.revision };
  }

  /** How many there are. */
  get size(): number {
    return this.suspects.size;
  }

  /** Takes in what the leader told; false when nothing changed. */
  apply({ suspects, suspectsRevision, workersEpoch }: SuspectUpdate, now: number): boolean {
    if (!this.version.advance(workersEpoch, suspectsRevision)) return false;
    this.suspects = new Map(suspects.map((record) => (
      [record.fingerprint, { record, refusedUntil: now + record.refusedMs }])));
    return true;
  }

  /** Finds a request; undefined for one that nothing is known against. */
  find(fingerprint: string, now: number): ListedSuspect | undefined {
    const known = this.suspects.get(fingerprint);
    return known && {
      crashCount: known.record.servers.length,
      refusedMs: Math.max(0, known.refusedUntil - now),
    };
  }
}
