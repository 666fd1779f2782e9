import { readLastIndex } from '../core/log/logState';
import type { Logger } from '../telemetry/logger';
import type { Clock } from '../utils/clock';
import type { LogRunner } from './logRunner';

/** Interval of the log lines on each learner, in milliseconds. */
const LOG_INTERVAL_MS = 1_000;

/**
 * Logs on the leader how far the learners have come. Until one has caught up, the site has a
 * replica less than it needs.
 *
 * @example
 * learnerLog.record(); // at each tick of the leader
 */
export class LearnerLog {
  private loggedAt = -Infinity;

  constructor(
    private readonly runner: Pick<LogRunner<true>, 'state'>,
    private readonly parts: { readonly clock: Clock; readonly logger: Logger },
  ) {}

  /** Logs the progress of each learner; rate-limited. */
  record(): void {
    const { state } = this.runner;
    const { learners } = state.replicas;
    const now = this.parts.clock.now();
    if (learners.length === 0 || now - this.loggedAt < LOG_INTERVAL_MS) return;
    this.loggedAt = now;
    learners.forEach(({ id }) => this.logProgress(id));
  }

  private logProgress(replica: string): void {
    const { state } = this.runner;
    const progress = state.peers.get(replica);
    this.parts.logger.info('replica catches up', {
      replica,
      matchIndex: progress?.matchIndex ?? 0,
      lastIndex: readLastIndex(state),
      snapshotOffset: progress?.snapshotOffset ?? -1,
      bytesSent: progress?.bytesSent ?? 0,
      unackedRounds: state.round - (progress?.ackedRound ?? 0),
    });
  }
}
