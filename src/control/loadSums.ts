import type { WorkerLoad } from '../protocol/generated/beechlift';

/** Total load of all entries at one backend server. */
interface LoadSum {
  inFlight: number;
  tokens: number;
  /** Sum of the slowness that entries reported, in thousandths. */
  slowness: number;
  /** Number of entries that reported a slowness, because they measured the speed of the server. */
  observers: number;
  /** Number of reports that name the server. */
  reports: number;
}

/**
 * Sums of the loads of all entries at each backend server, updated with each report.
 *
 * Adding up all reports for each reply would cost time that grows with the square of the number of
 * entries, and would saturate the CPU of a large site's leader before the first request.
 *
 * @example
 * sums.set(entryId, request.loads);
 * const totals = sums.list();
 */
export class LoadSums {
  private readonly reportedLoads = new Map<string, readonly WorkerLoad[]>();

  private readonly sums = new Map<string, LoadSum>();

  /** Replaces the loads of a report, which an entry may have several of. */
  set(reportId: string, loads: readonly WorkerLoad[]): void {
    this.remove(reportId);
    if (loads.length === 0) return;
    this.reportedLoads.set(reportId, loads);
    loads.forEach((load) => this.add(load, 1));
  }

  /** Removes the loads of a report. */
  remove(reportId: string): void {
    const loads = this.reportedLoads.get(reportId);
    if (!loads) return;
    this.reportedLoads.delete(reportId);
    loads.forEach((load) => this.add(load, -1));
  }

  /** Lists the total load at each backend server; the slowness is a sum over its observers. */
  list(): WorkerLoad[] {
    return [...this.sums].map(([workerId, {
      inFlight, tokens, slowness, observers,
    }]) => ({
      workerId, inFlight, tokens, slowness, observers, placed: 0, placedTokens: 0,
    }));
  }

  private add({
    workerId, inFlight, tokens, slowness,
  }: WorkerLoad, sign: 1 | -1): void {
    const sum = this.sums.get(workerId) ?? {
      inFlight: 0, tokens: 0, slowness: 0, observers: 0, reports: 0,
    };
    sum.inFlight += sign * inFlight;
    sum.tokens += sign * tokens;
    sum.slowness += sign * slowness;
    sum.observers += slowness > 0 ? sign : 0;
    sum.reports += sign;
    if (sum.reports > 0) this.sums.set(workerId, sum);
    else this.sums.delete(workerId);
  }
}
