import type {
  EntryRecord, SuspectRecord, WatchReply, WatchRequest, WorkerRecord,
} from '../protocol/generated/beechlift';
import { WatchRequest as WatchRequestCodec } from '../protocol/generated/beechlift';
import { EntryList } from '../core/routing/entryList';
import { ListVersion } from '../core/routing/listVersion';
import { toOriginRecord } from '../core/routing/originRecords';
import type { StreamOrigins } from '../core/routing/streamOrigins';
import { needsRecord } from '../core/routing/workerRecords';
import type { Clock } from '../utils/clock';
import type { RecoveryWindow } from './recoveryWindow';
import type { SuspectRegistry } from './suspectRegistry';
import type { WorkerRegistry } from './workerRegistry';

/** Dependencies of a follower. */
export interface LeaderFollowerParts {
  readonly registry: WorkerRegistry;
  readonly suspects: SuspectRegistry;
  readonly origins: StreamOrigins;
  readonly clock: Clock;
  readonly recoveryWindow: RecoveryWindow;
  /** Records that this replica had cached on disk when it started. */
  readonly cachedWorkers: readonly WorkerRecord[];
  readonly cachedSuspects: readonly SuspectRecord[];
}

/**
 * Copies state that is not in the log from the leader: the entries, the backend servers, the
 * suspect requests and the origins of streams. In return, it reports the cached records of this
 * replica to a leader that has just started.
 *
 * @example
 * const request = follower.buildRequest(site.digest, 250);
 * follower.applyReply(reply, request);
 */
export class LeaderFollower {
  private readonly entries = new EntryList();

  private readonly originsVersion = new ListVersion();

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
      originsRevision: epoch === this.originsVersion.epoch ? this.originsVersion.revision : 0,
      holdMs,
    });
  }

  /**
   * Applies a watch reply of the leader, unless this replica has led since the request.
   *
   * It then has a table of its own. The reply may be older, and holds only the changes of the table
   * that the request named.
   */
  applyReply(reply: WatchReply, { workersEpoch }: WatchRequest): void {
    const { registry, suspects, recoveryWindow } = this.parts;
    if (registry.table.epoch !== workersEpoch) return;
    recoveryWindow.markFollowing();
    this.entries.apply(reply);
    registry.applyReply(reply);
    suspects.applyReply(reply);
    this.applyOrigins(reply);
    this.removeReported();
  }

  private applyOrigins({ origins, originsRevision, workersEpoch }: WatchReply): void {
    if (!this.originsVersion.advance(workersEpoch, originsRevision)) return;
    const now = this.parts.clock.now();
    origins.forEach((record) => this.parts.origins.adopt(toOriginRecord(record, now)));
    this.parts.origins.expire(now);
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
