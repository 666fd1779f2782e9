import type {
  EntryRecord, WatchReply, WatchRequest,
} from '../protocol/generated/beechlift';
import type { HeldCalls } from '../utils/heldCalls';
import { LeaderFollower } from './leaderFollower';
import { RecoveryWindow } from './recoveryWindow';
import type { RoutedNodeParts } from './routedNodeParts';
import { SuspectRegistry } from './suspectRegistry';
import { WorkerRegistry } from './workerRegistry';

/** Dependencies of the soft state. */
export interface SoftStateParts extends Pick<RoutedNodeParts, | 'stored' | 'cachedWorkers' | 'workerCache' | 'cachedSuspects' | 'suspectCache' | 'clock' | 'logger'> {
  /** Watch requests that are held until there is an update. */
  readonly watches: HeldCalls;
  /** Counts the entries that send watch requests. */
  readonly countEntries: () => number;
}

const hasLog = ({ entries, snapshot }: RoutedNodeParts['stored']): boolean => (
  entries.length > 0 || snapshot.data !== '');

/**
 * State of a replica that is not in the log: the backend servers and the suspect requests. The
 * leader receives them, followers copy them from the leader, and all cache them across restarts.
 *
 * @example
 * const softState = new SoftState({ ...parts, watches, countEntries });
 * setInterval(() => softState.save(), TICK_MS);
 */
export class SoftState {
  readonly registry: WorkerRegistry;

  readonly suspects: SuspectRegistry;

  /** Decides when cached records of other replicas are accepted. */
  readonly recoveryWindow: RecoveryWindow;

  private readonly follower: LeaderFollower;

  constructor(parts: SoftStateParts) {
    this.registry = new WorkerRegistry(parts);
    this.suspects = new SuspectRegistry(parts);
    this.recoveryWindow = new RecoveryWindow(parts.clock, hasLog(parts.stored));
    const { registry, suspects, recoveryWindow } = this;
    this.follower = new LeaderFollower({
      ...parts, registry, suspects, recoveryWindow,
    });
  }

  /** Lists the entries that accept callers, as last received from the leader. */
  listEntries(): readonly EntryRecord[] {
    return this.follower.listEntries();
  }

  /** Writes changed records to disk; writes are rate-limited. */
  save(): void {
    this.registry.save();
    this.suspects.save();
  }

  /** Expires unresponsive servers and old suspects; runs on the leader only. */
  expire(): void {
    this.registry.expire();
    this.suspects.evaluate();
  }

  /** Continues with the current state on a replica that has become the leader. */
  startLeading(): void {
    this.registry.startLeading();
    this.recoveryWindow.markLeading();
  }

  /** Builds the watch request to the leader. */
  buildFollowRequest(documentDigest: string, holdMs: number): WatchRequest {
    return this.follower.buildRequest(documentDigest, holdMs);
  }

  /** Applies a watch reply of the leader. */
  applyReply(reply: WatchReply): void {
    this.follower.applyReply(reply);
  }
}
