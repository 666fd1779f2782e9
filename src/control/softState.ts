import type {
  EntryRecord, WatchReply, WatchRequest,
} from '../protocol/generated/beechlift';
import type { HeldCalls } from '../utils/heldCalls';
import { LeaderFollower } from './leaderFollower';
import { RecoveryWindow } from './recoveryWindow';
import type { RoutedNodeParts } from './routedNodeParts';
import { SuspectRegistry } from './suspectRegistry';
import { WorkerRegistry } from './workerRegistry';

/** What the knowledge of a replica is made from. */
export interface SoftStateParts extends Pick<RoutedNodeParts, | 'stored' | 'remembered' | 'memo' | 'rememberedSuspects' | 'suspectMemo' | 'clock' | 'logger'> {
  /** Questions that are held until there is news. */
  readonly watches: HeldCalls;
  /** Entries that ask. */
  readonly countEntries: () => number;
}

const hasLog = ({ entries, snapshot }: RoutedNodeParts['stored']): boolean => (
  entries.length > 0 || snapshot.data !== '');

/**
 * What a replica knows of its site beside the log: the backend servers and the suspect requests. A
 * leader hears of them, the others follow it, and all remember them over a restart.
 *
 * @example
 * const known = new KnownSite({ ...parts, watches, countEntries });
 * setInterval(() => known.save(), TICK_MS);
 */
export class SoftState {
  readonly registry: WorkerRegistry;

  readonly suspects: SuspectRegistry;

  /** When a replica learns of the others what they remember. */
  readonly recoveryWindow: RecoveryWindow;

  private readonly follower: LeaderFollower;

  constructor(parts: SoftStateParts) {
    this.registry = new WorkerRegistry(parts);
    this.suspects = new SuspectRegistry(parts);
    this.recoveryWindow = new RecoveryWindow(parts.clock, hasLog(parts.stored));
    const { registry, suspects, recoveryWindow: recoveryWindow } = this;
    this.follower = new LeaderFollower({
      ...parts, registry, suspects, recall: recoveryWindow,
    });
  }

  /** Entries that callers may be sent to, as the leader told of them. */
  listEntries(): readonly EntryRecord[] {
    return this.follower.listEntries();
  }

  /** Writes what changed to the disk, now and then. */
  save(): void {
    this.registry.save();
    this.suspects.save();
  }

  /** Sets aside what is silent or old, on the replica that leads. */
  expire(): void {
    this.registry.expire();
    this.suspects.evaluate();
  }

  /** Goes on with what is known, on a replica that has begun to lead. */
  startLeading(): void {
    this.registry.startLeading();
    this.recoveryWindow.markLeading();
  }

  /** What the leader is asked with. */
  buildFollowRequest(documentDigest: string, holdMs: number): WatchRequest {
    return this.follower.buildRequest(documentDigest, holdMs);
  }

  /** Takes in what the leader told. */
  applyReply(reply: WatchReply): void {
    this.follower.applyReply(reply);
  }
}
