import type { EntryRecord, WatchReply, WatchRequest } from '../protocol/generated/beechlift';
import { WatchRequest as WatchRequestCodec } from '../protocol/generated/beechlift';
import { EntryList } from '../core/routing/entryList';
import type { SuspectKeeper } from './suspectKeeper';
import type { WorkerRegistry } from './workerRegistry';

/**
 * What a replica that follows takes over from the leader beside the log: the entries, the
 * backend servers, and the suspect requests.
 *
 * @example
 * const request = follower.buildRequest(site.digest, 250);
 * follower.take(reply);
 */
export class LeaderFollower {
  private readonly entries = new EntryList();

  constructor(
    private readonly registry: WorkerRegistry,
    private readonly suspects: SuspectKeeper,
  ) {}

  /** Entries that callers may be sent to, as the leader told of them. */
  listEntries(): readonly EntryRecord[] {
    return this.entries.records;
  }

  /** What the leader is asked with. */
  buildRequest(documentDigest: string, holdMs: number): WatchRequest {
    const { epoch, revision } = this.registry.table;
    return WatchRequestCodec.fromPartial({
      documentDigest,
      workersEpoch: epoch,
      workersRevision: revision,
      ...this.entries.held,
      ...this.suspects.held,
      holdMs,
    });
  }

  /** Takes in what the leader told. */
  take(reply: WatchReply): void {
    this.entries.apply(reply);
    this.registry.follow(reply);
    this.suspects.follow(reply);
  }
}
