import { setTimeout as pause } from 'node:timers/promises';
import { isReplicaSetCommitted, isVoter } from '../core/log/logState';
import { LogMessage } from '../protocol/generated/beechlift';
import type { Logger } from '../telemetry/logger';
import type { Operation } from '../utils/operation';
import type { LogRunner } from './logRunner';
import type { ReplicaSetManager } from './replicaSetManager';
import { LEAVE_MESSAGE } from './replicaSetManager';

/** What the handover of a vote needs. */
export interface VoteHandoverParts {
  readonly runner: Pick<LogRunner<true>, 'state'>;
  readonly replicaSetManager: Pick<ReplicaSetManager, 'recordLeaving'>;
  readonly sendMessage: (message: LogMessage) => void;
  readonly logger: Logger;
}

/** Longest wait for a standby that takes the vote of a replica that stops, in milliseconds. */
export const HANDOVER_TIMEOUT_MS = 2_000;
/** Interval at which the end of the handover is checked, in milliseconds. */
const POLL_MS = 10;

/**
 * Gives the vote of a replica to a standby before its process ends. A voter that has ended would
 * otherwise be needed for a majority until it has been silent for the time limit.
 *
 * @example
 * setInterval(() => voteHandover.tick(), TICK_MS);
 * await voteHandover.run(new Operation({ timeoutMs: HANDOVER_TIMEOUT_MS }));
 */
export class VoteHandover {
  private isStarted = false;

  constructor(private readonly parts: VoteHandoverParts) {}

  /** Whether this replica no longer votes, or no standby can take its vote. */
  get isDone(): boolean {
    const { state } = this.parts.runner;
    if (isVoter(state, state.id)) return state.replicas.learners.length === 0;
    return isReplicaSetCommitted(state);
  }

  /**
   * Hands the vote over; resolves once that is done, or at the deadline. The replica takes part in
   * the log until then, and must go on ticking.
   */
  async run(operation: Operation): Promise<void> {
    this.start();
    await this.waitUntilDone(operation);
    const { runner: { state }, logger } = this.parts;
    logger.info('replica may stop', { isVoter: isVoter(state, state.id), waitedMs: Math.round(operation.elapsedMs) });
  }

  /** Begins to ask the leader, at each tick. */
  start(): void {
    this.isStarted = true;
  }

  /** Asks the leader to replace this replica, until that is done; messages may be lost. */
  tick(): void {
    if (!this.isStarted || this.isDone) return;
    const { runner: { state }, replicaSetManager, sendMessage } = this.parts;
    if (state.role === 'leader') {
      replicaSetManager.recordLeaving(state.id);
    } else if (state.leaderId !== '') {
      sendMessage(LogMessage.fromPartial({
        kind: LEAVE_MESSAGE, from: state.id, to: state.leaderId, term: state.term,
      }));
    }
  }

  private async waitUntilDone(operation: Operation): Promise<void> {
    if (this.isDone || operation.remainingMs === 0) return;
    await pause(POLL_MS);
    await this.waitUntilDone(operation);
  }
}
