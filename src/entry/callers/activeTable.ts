import type { RunningRequest } from '../../protocol/generated/beechlift';
import type { CallerRequest } from './callerRequest';
import type { PooledRequest } from '../choosing/scheduler';

/** Requests that this entry has accepted and not finished. */
export class ActiveTable {
  private readonly running = new Map<string, PooledRequest>();

  private readonly unfinished = new Set<string>();

  /** Number of requests that are waiting or running. */
  get size(): number {
    return this.unfinished.size;
  }

  /** Adds an accepted request. */
  add(id: string): void {
    this.unfinished.add(id);
  }

  /** Marks a request as holding a slot. */
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

  /** Marks a request as no longer holding a slot. */
  unmarkRunning(id: string): void {
    this.running.delete(id);
  }

  /** Removes a finished request. */
  remove(id: string): void {
    this.unfinished.delete(id);
    this.running.delete(id);
  }

  /** Lists the requests that hold a slot. */
  listRunning(): PooledRequest[] {
    return [...this.running.values()];
  }
}
