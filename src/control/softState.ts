import type {
  EntryRecord, WatchReply, WatchRequest,
} from '../protocol/generated/beechlift';
import { StreamOrigins } from '../core/routing/streamOrigins';
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
 * State of a replica that is not in the log: the backend servers, the suspect requests and the
 * origins of streams. The leader receives them, and followers copy them from the leader. All cache
 * the servers and the suspects across restarts.
 *
 * @example
 * const softState = new SoftState({ ...parts, watches, countEntries });
 * setInterval(() => softState.save(), TICK_MS);
 */
export class SoftState {
  readonly registry: WorkerRegistry;

  readonly suspects: SuspectRegistry;

  /** Which version began which stream; not cached on disk, as all streams end with the power. */
  readonly origins = new StreamOrigins();

  /** Decides when cached records of other replicas are accepted. */
  readonly recoveryWindow: RecoveryWindow;

  private readonly follower: LeaderFollower;

  constructor(private readonly parts: SoftStateParts) {
    this.registry = new WorkerRegistry(parts);
    this.suspects = new SuspectRegistry(parts);
    this.recoveryWindow = new RecoveryWindow(parts.clock, hasLog(parts.stored));
    const {
      registry, suspects, origins, recoveryWindow,
    } = this;
    this.follower = new LeaderFollower({
      ...parts, registry, suspects, origins, recoveryWindow,
    });
  }

  /** What the state of a leader needs of it. */
  get leaderParts(): Pick<SoftState, 'suspects' | 'origins'> {
    return { suspects: this.suspects, origins: this.origins };
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
    this.origins.expire(this.parts.clock.now());
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

  /** Applies a watch reply of the leader, unless this replica has led since the request. */
  applyReply(reply: WatchReply, request: WatchRequest): void {
    this.follower.applyReply(reply, request);
  }
}
