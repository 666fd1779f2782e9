import type {
  EntryRecord, SuspectRecord, WatchReply, WatchRequest, WorkerRecord,
} from '../protocol/generated/beechlift';
import { WatchRequest as WatchRequestCodec } from '../protocol/generated/beechlift';
import { EntryList } from '../core/routing/entryList';
import { needsRecord } from '../core/routing/workerTable';
import type { RecoveryWindow } from './recoveryWindow';
import type { SuspectRegistry } from './suspectRegistry';
import type { WorkerRegistry } from './workerRegistry';

/** Dependencies of a follower. */
export interface LeaderFollowerParts {
  readonly registry: WorkerRegistry;
  readonly suspects: SuspectRegistry;
  readonly recoveryWindow: RecoveryWindow;
  /** Records that this replica had cached on disk when it started. */
  readonly cachedWorkers: readonly WorkerRecord[];
  readonly cachedSuspects: readonly SuspectRecord[];
}

/**
 * Copies state that is not in the log from the leader: the entries, the backend servers, and the
 * suspect requests. In return, it reports the cached records of this replica to a leader that has
 * just started.
 *
 * @example
 * const request = follower.buildRequest(site.digest, 250);
 * follower.applyReply(reply);
 */
export class LeaderFollower {
  private readonly entries = new EntryList();

  private unreportedWorkers: readonly WorkerRecord[];

  private unreportedSuspects: readonly SuspectRecord[];

  constructor(private readonly parts: LeaderFollowerParts) {
    this.unreportedWorkers = parts.cachedWorkers;
    this.unreportedSuspects = parts.cachedSuspects;
  }

  /** Lists the entries that accept callers, as last received from the leader. */
  listEntries(): readonly EntryRecord[] {
    return this.entries.records;
  }

  /** Builds the watch request to the leader. */
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

  /** Applies a watch reply of the leader. */
  applyReply(reply: WatchReply): void {
    const { registry, suspects, recoveryWindow } = this.parts;
    recoveryWindow.markFollowing();
    this.entries.apply(reply);
    registry.applyReply(reply);
    suspects.applyReply(reply);
    this.removeReported();
  }

  /** Drops the cached records that the leader has, and all of them once reporting ends. */
  private removeReported(): void {
    const { registry, suspects, recoveryWindow } = this.parts;
    const { isReporting } = recoveryWindow;
    this.unreportedWorkers = this.unreportedWorkers
      .filter((record) => isReporting && needsRecord(registry.table, record));
    this.unreportedSuspects = this.unreportedSuspects
      .filter((record) => isReporting && suspects.needsSuspect(record));
  }
}
