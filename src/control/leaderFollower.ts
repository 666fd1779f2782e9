import type {
  EntryRecord, SuspectRecord, WatchReply, WatchRequest, WorkerRecord,
} from '../protocol/generated/beechlift';
import { WatchRequest as WatchRequestCodec } from '../protocol/generated/beechlift';
import { EntryList } from '../core/routing/entryList';
import { needsRecord } from '../core/routing/workerTable';
import type { RecallWindow } from './recallWindow';
import type { SuspectKeeper } from './suspectKeeper';
import type { WorkerRegistry } from './workerRegistry';

/** What a follower is made from. */
export interface LeaderFollowerParts {
  readonly registry: WorkerRegistry;
  readonly suspects: SuspectKeeper;
  readonly recall: RecallWindow;
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

  private untoldWorkers: readonly WorkerRecord[];

  private untoldSuspects: readonly SuspectRecord[];

  constructor(private readonly parts: LeaderFollowerParts) {
    this.untoldWorkers = parts.remembered;
    this.untoldSuspects = parts.rememberedSuspects;
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
      ...suspects.held,
      rememberedWorkers: [...this.untoldWorkers],
      rememberedSuspects: [...this.untoldSuspects],
      holdMs,
    });
  }

  /** Takes in what the leader told. */
  take(reply: WatchReply): void {
    const { registry, suspects, recall } = this.parts;
    recall.noteFollowing();
    this.entries.apply(reply);
    registry.follow(reply);
    suspects.follow(reply);
    this.noteTold();
  }

  /** Leaves out what the leader knows; all of it once the leader had time to hear it. */
  private noteTold(): void {
    const { registry, suspects, recall } = this.parts;
    const { isTelling } = recall;
    this.untoldWorkers = this.untoldWorkers
      .filter((record) => isTelling && needsRecord(registry.table, record));
    this.untoldSuspects = this.untoldSuspects
      .filter((record) => isTelling && suspects.needsSuspect(record));
  }
}
