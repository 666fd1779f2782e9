import { makeSuspension, suspendWorker } from './routedWorkers';
import type { Suspension } from './routedWorkers';

/** Interval at which what is gone is forgotten, in milliseconds. */
const PRUNE_INTERVAL_MS = 1_000;

/**
 * Which entries do not reach which model engines.
 *
 * A report that a request did not reach its server is about the pair: the server may have crashed,
 * or its entry may be cut off. Only that entry avoids the server, until several entries have failed
 * there and none has succeeded in between.
 *
 * @example
 * const failedEntries = reach.recordFailure('e1', 'w1', now);
 * const avoided = reach.listPaused('e1', now); // ['w1']
 */
export class PairReach {
  /** Suspensions of servers for one entry, by the ids of both. */
  private readonly pauses = new Map<string, Map<string, Suspension>>();

  /** Entries that have failed at a server since the last success there. */
  private readonly failedEntries = new Map<string, Set<string>>();

  private prunedAt = -Infinity;

  /** Records a failure; returns how many entries have failed there since the last success. */
  recordFailure(entryId: string, workerId: string, now: number): number {
    const servers = this.pauses.get(entryId) ?? new Map<string, Suspension>();
    const pause = servers.get(workerId) ?? makeSuspension();
    suspendWorker(pause, now);
    servers.set(workerId, pause);
    this.pauses.set(entryId, servers);
    const entries = (this.failedEntries.get(workerId) ?? new Set()).add(entryId);
    this.failedEntries.set(workerId, entries);
    return entries.size;
  }

  /** Records that a request of an entry made progress at a server. */
  recordSuccess(entryId: string, workerId: string): void {
    this.failedEntries.delete(workerId);
    this.pauses.get(entryId)?.delete(workerId);
  }

  /** Lists the servers at which an entry gets no slot at the moment. */
  listPaused(entryId: string, now: number): readonly string[] {
    const servers = this.pauses.get(entryId);
    if (!servers) return [];
    return [...servers].filter(([, { suspendedUntil }]) => now < suspendedUntil).map(([id]) => id);
  }

  /** Forgets the entries and servers that are gone. */
  forgetGone(
    isEntry: (entryId: string) => boolean,
    isServer: (workerId: string) => boolean,
    now: number,
  ): void {
    if (now - this.prunedAt < PRUNE_INTERVAL_MS) return;
    this.prunedAt = now;
    this.pauses.forEach((servers, entryId) => {
      if (!isEntry(entryId)) this.pauses.delete(entryId);
      [...servers.keys()].filter((id) => !isServer(id)).forEach((id) => servers.delete(id));
    });
    [...this.failedEntries.keys()].filter((id) => !isServer(id))
      .forEach((id) => this.failedEntries.delete(id));
  }
}
