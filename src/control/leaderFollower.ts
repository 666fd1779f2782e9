import type {
  EntryRecord, SuspectRecord, WatchReply, WatchRequest, WorkerRecord,
} from '../protocol/generated/beechlift';
import { WatchRequest as WatchRequestCodec } from '../protocol/generated/beechlift';
import { EntryList } from '../core/routing/entryList';
import { needsRecord } from '../core/routing/workerTable';
import type { RecoveryWindow } from './recoveryWindow';
import type { SuspectRegistry } from './suspectRegistry';
import type { WorkerRegistry } from './workerRegistry';

/** What a follower is made from. */
export interface LeaderFollowerParts {
  readonly registry: WorkerRegistry;
  readonly suspects: SuspectRegistry;
  readonly recall: RecoveryWindow;
  /** What this replica had on its disk when it started. */
  readonly remembered: readonly WorkerRecord[];
  readonly rememberedSuspects: readonly SuspectRecord[];
}

/**
 * What a replica that follows takes over from the leader beside the log: the entries, the
 * backend servers, and the suspect requests. A leader that has just started hears in return what
 * this replica remembered of them.
 *
 * @example
 * const request = follower.buildRequest(site.digest, 250);
 * follower.take(reply);
 */
export class LeaderFollower {
  private readonly entries = new EntryList();

  private unreportedWorkers: readonly WorkerRecord[];

  private unreportedSuspects: readonly SuspectRecord[];

  constructor(private readonly parts: LeaderFollowerParts) {
    this.unreportedWorkers = parts.remembered;
    this.unreportedSuspects = parts.rememberedSuspects;
  }

  /** Entries that callers may be sent to, as the leader told of them. */
  listEntries(): readonly EntryRecord[] {
    return this.entries.records;
  }

  /** What the leader is asked with. */
  buildRequest(documentDigest: string, holdMs: number): WatchRequest {
    const { registry, suspects } = this.parts;
    const { epoch, revision } = registry.table;
    return WatchRequestCodec.fromPartial({
      documentDigest,
      workersEpoch: epoch,
      workersRevision: revision,
      ...this.entries.heldVersion,
      ...suspects.heldVersion,
      rememberedWorkers: [...this.unreportedWorkers],
      rememberedSuspects: [...this.unreportedSuspects],
      holdMs,
    });
  }

  /** Takes in what the leader told. */
  applyReply(reply: WatchReply): void {
    const { registry, suspects, recall } = this.parts;
    recall.markFollowing();
    this.entries.apply(reply);
    registry.applyReply(reply);
    suspects.applyReply(reply);
    this.removeReported();
  }

  /** Leaves out what the leader knows; all of it once the leader had time to hear it. */
  private removeReported(): void {
    const { registry, suspects, recall } = this.parts;
    const { isReporting: isReporting } = recall;
    this.unreportedWorkers = this.unreportedWorkers
      .filter((record) => isReporting && needsRecord(registry.table, record));
    this.unreportedSuspects = this.unreportedSuspects
      .filter((record) => isReporting && suspects.needsSuspect(record));
  }
}
