import type { RunningRequest } from '../../protocol/generated/beechlift';
import type { CallerRequest } from './callerRequest';
import type { PooledRequest } from '../choosing/scheduler';

/** Requests that this entry has taken and not finished. */
export class ActiveTable {
  private readonly running = new Map<string, PooledRequest>();

  private readonly unfinished = new Set<string>();

  /** Requests that are waiting or running. */
  get size(): number {
    return this.unfinished.size;
  }

  /** Counts a request in. */
  add(id: string): void {
    this.unfinished.add(id);
  }

  /** Notes that a request holds a slot. */
  markRunning(request: CallerRequest, workerId: string): void {
    const running: RunningRequest = {
      requestId: request.id,
      workerId,
      tier: request.tier,
      account: request.account,
      promptTokens: request.promptTokens,
      target: request.target,
    };
    this.running.set(request.id, { pool: request.pool, running });
  }

  /** Notes that a request holds no slot any more. */
  unmarkRunning(id: string): void {
    this.running.delete(id);
  }

  /** Counts a request out. */
  remove(id: string): void {
    this.unfinished.delete(id);
    this.running.delete(id);
  }

  /** All that holds a slot. */
  listRunning(): PooledRequest[] {
    return [...this.running.values()];
  }
}
