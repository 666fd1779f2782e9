import { setTimeout as pause } from 'node:timers/promises';
import type { WatchReply, WatchRequest } from '../protocol/generated/beechlift';
import { toBeechliftError } from '../errors/beechliftError';
import type { Logger } from '../telemetry/logger';

/** How long the leader holds a watch request of a follower, in milliseconds. */
const FOLLOW_HOLD_MS = 250;
/**
 * Time limit of a watch request. A leader that is slow has done most of the work for it by then,
 * and would do all of it again.
 */
const FOLLOW_TIMEOUT_MS = 3_000;
/** How often a follower looks whether another replica leads, in milliseconds. */
const LEADER_CHECK_MS = 100;

/** A replica that copies the state of the leader. */
export interface Follower {
  /** Address of the leader to follow; empty if none is known, or this replica leads. */
  readonly followedAddress: string;
  readonly buildFollowRequest: (holdMs: number) => WatchRequest;
  readonly follow: (reply: WatchReply, request: WatchRequest) => void;
}

/** Dependencies of the loop. */
export interface FollowLoopParts {
  readonly node: Follower;
  /** Sends a watch request to the replica at an address; rejects if it is not answered in time. */
  readonly send: (
    address: string, request: WatchRequest, timeoutMs: number,
  ) => Promise<WatchReply>;
  readonly logger: Logger;
}

/**
 * Sends watch requests of a follower to the leader, one after another.
 *
 * @example
 * const loop = new FollowLoop({ node, send, logger });
 * loop.start();
 */
export class FollowLoop {
  private isStopped = false;

  constructor(private readonly parts: FollowLoopParts) {}

  /** Starts to follow the leader. */
  start(): void {
    this.run().catch(() => undefined); // Never rejects.
  }

  /** Sends no more requests. */
  stop(): void {
    this.isStopped = true;
  }

  private async run(): Promise<void> {
    if (this.isStopped) return;
    const isAnswered = await this.followOnce().catch((thrown: unknown) => {
      this.parts.logger.error('watch reply of the leader could not be applied', { reason: toBeechliftError(thrown).message });
      return false;
    });
    // Started without await: an unending chain of awaited calls would never release its memory.
    setTimeout(() => this.start(), isAnswered ? 0 : FOLLOW_HOLD_MS).unref();
  }

  /** Sends one watch request to the leader; resolves with whether the leader answered. */
  private async followOnce(): Promise<boolean> {
    const { node, send } = this.parts;
    const address = node.followedAddress;
    if (address === '') return false;
    const request = node.buildFollowRequest(FOLLOW_HOLD_MS);
    const answered = send(address, request, FOLLOW_TIMEOUT_MS)
      .catch(() => undefined); // Asked again later.
    let isOver = false;
    const reply = await Promise.race([answered, this.waitForOtherLeader(address, () => isOver)]);
    isOver = true;
    if (!reply || reply.leaseMs <= 0) return false;
    node.follow(reply, request);
    return true;
  }

  /** Resolves once another replica leads, so that the last leader is not waited for. */
  private async waitForOtherLeader(address: string, isOver: () => boolean): Promise<undefined> {
    await pause(LEADER_CHECK_MS, undefined, { ref: false });
    const hasChanged = this.parts.node.followedAddress !== address;
    if (hasChanged || this.isStopped || isOver()) return undefined;
    return this.waitForOtherLeader(address, isOver);
  }
}
