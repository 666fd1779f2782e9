import { computeSpeedReportMs } from '../core/routing/messageIntervals';
import type { RoutedWorkers } from '../core/routing/routedWorkers';
import { applyLoads, listLoads, listSpeeds } from '../core/routing/workerLoads';
import { LoadList } from '../protocol/generated/beechlift';
import type { WatchReply, WatchRequest, WorkerLoad } from '../protocol/generated/beechlift';

/** Fields of a watch request that tell of servers. */
export type LoadPart = Pick<WatchRequest, 'loads' | 'speeds'>;

/**
 * What an entry reports to the leader about the servers, and what the leader tells it of others.
 *
 * The loads go with each watch request. The speeds of all servers that the entry has observed go
 * with few: in each, they would take most of the leader's time for a request.
 *
 * @example
 * const request = { ...loadReports.buildPart(workers, epoch, entryCount, clock.now()) };
 */
export class LoadReports {
  private loads: readonly WorkerLoad[] = [];

  /** Speeds that the leader knows. */
  private speeds: readonly WorkerLoad[] = [];

  private speedsToldAt = -Infinity;

  /** Epoch of the leader that knows them. */
  private speedsEpoch = '';

  /**
   * Builds the fields of a watch request.
   *
   * @param epoch epoch of the leader's server table that this entry has a copy of
   */
  buildPart(workers: RoutedWorkers, epoch: string, entryCount: number, now: number): LoadPart {
    const loads = listLoads(workers);
    this.loads = loads;
    const isKnown = this.speedsEpoch === epoch
      && now - this.speedsToldAt < computeSpeedReportMs(entryCount);
    return { loads, speeds: isKnown ? [] : listSpeeds(workers) };
  }

  /** Records that a leader has received a request. */
  recordTold({ speeds }: LoadPart, { workersEpoch }: Pick<WatchReply, 'workersEpoch'>, now: number): void {
    if (speeds.length === 0) return;
    this.speeds = speeds;
    this.speedsToldAt = now;
    this.speedsEpoch = workersEpoch;
  }

  /** Applies the loads of all entries in a reply of the leader. */
  applyReply(workers: RoutedWorkers, { loadList }: Pick<WatchReply, 'loadList'>): void {
    applyLoads(workers, LoadList.decode(loadList).loads, [...this.loads, ...this.speeds]);
  }
}
