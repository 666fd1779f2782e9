/** Shortest and longest time in which an entry gets no slot at a server it did not reach, in ms. */
const MIN_PAUSE_MS = 300;
const MAX_PAUSE_MS = 5_000;

/** The pause of one entry at one server. */
interface Pause {
  readonly until: number;
  readonly lengthMs: number;
}

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
  private readonly pauses = new Map<string, Map<string, Pause>>();

  /** Entries that have failed at a server since the last success there. */
  private readonly failedEntries = new Map<string, Set<string>>();

  /** Records a failure; returns how many entries have failed there since the last success. */
  recordFailure(entryId: string, workerId: string, now: number): number {
    const servers = this.pauses.get(entryId) ?? new Map<string, Pause>();
    const previous = servers.get(workerId);
    // Requests that were on the way to the server together fail together and count once.
    if (!previous || now >= previous.until) {
      const lengthMs = Math.min(MAX_PAUSE_MS, 2 * (previous?.lengthMs ?? MIN_PAUSE_MS / 2));
      servers.set(workerId, { until: now + lengthMs, lengthMs });
    }
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
    return [...servers].filter(([, { until }]) => now < until).map(([id]) => id);
  }

  /** Forgets the entries and servers that are gone. */
  retain(isEntry: (entryId: string) => boolean, isServer: (workerId: string) => boolean): void {
    this.pauses.forEach((servers, entryId) => {
      if (!isEntry(entryId)) this.pauses.delete(entryId);
      [...servers.keys()].filter((id) => !isServer(id)).forEach((id) => servers.delete(id));
    });
    [...this.failedEntries.keys()].filter((id) => !isServer(id))
      .forEach((id) => this.failedEntries.delete(id));
  }
}
