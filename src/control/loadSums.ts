import type { WorkerLoad } from '../protocol/generated/beechlift';

/** Total load of all entries at one backend server. */
interface LoadSum {
  inFlight: number;
  tokens: number;
  /** Sum of the slowness that entries reported, in thousandths. */
  slowness: number;
  /** Number of entries that reported a slowness, because they measured the speed of the server. */
  observers: number;
  /** Number of entries that reported a load. */
  reporters: number;
}

const NO_LOADS: readonly WorkerLoad[] = [];

/**
 * Sums of the loads of all entries at each backend server, updated with each report.
 *
 * Adding up all reports for each reply would cost time that grows with the square of the number of
 * entries, and would saturate the CPU of a large site's leader before the first request.
 *
 * @example
 * sums.set('e1', request.loads);
 * const others = sums.sum('e1'); // loads of all entries but e1
 */
export class LoadSums {
  private readonly reportedLoads = new Map<string, readonly WorkerLoad[]>();

  private readonly sums = new Map<string, LoadSum>();

  /** Replaces the reported loads of an entry. */
  set(entryId: string, loads: readonly WorkerLoad[]): void {
    this.remove(entryId);
    if (loads.length === 0) return;
    this.reportedLoads.set(entryId, loads);
    loads.forEach((load) => this.add(load, 1));
  }

  /** Removes the reported loads of an entry. */
  remove(entryId: string): void {
    const loads = this.reportedLoads.get(entryId);
    if (!loads) return;
    this.reportedLoads.delete(entryId);
    loads.forEach((load) => this.add(load, -1));
  }

  /** Sums the loads of all entries but one. */
  sum(exceptId: string): WorkerLoad[] {
    const own = new Map(
      (this.reportedLoads.get(exceptId) ?? NO_LOADS).map((load) => [load.workerId, load]),
    );
    return [...this.sums].map(([workerId, sum]) => {
      const load = own.get(workerId);
      const slowness = sum.slowness - (load?.slowness ?? 0);
      const observers = sum.observers - (load && load.slowness > 0 ? 1 : 0);
      return {
        workerId,
        inFlight: sum.inFlight - (load?.inFlight ?? 0),
        tokens: sum.tokens - (load?.tokens ?? 0),
        slowness: Math.round(slowness / Math.max(1, observers)),
        placed: 0,
        placedTokens: 0,
      };
    });
  }

  private add({
    workerId, inFlight, tokens, slowness,
  }: WorkerLoad, sign: 1 | -1): void {
    const sum = this.sums.get(workerId) ?? {
      inFlight: 0, tokens: 0, slowness: 0, observers: 0, reporters: 0,
    };
    sum.inFlight += sign * inFlight;
    sum.tokens += sign * tokens;
    sum.slowness += sign * slowness;
    sum.observers += slowness > 0 ? sign : 0;
    sum.reporters += sign;
    if (sum.reporters > 0) this.sums.set(workerId, sum);
    else this.sums.delete(workerId);
  }
}
