import { makeSuspension, suspendWorker } from './routedWorkers';
import type { RoutedWorker, Suspension } from './routedWorkers';

/** Interval at which what is gone is forgotten, in milliseconds. */
const PRUNE_INTERVAL_MS = 1_000;

/** Longest time for which an entry gets no slot at a server that it did not reach, in ms. */
const MAX_PAUSE_MS = 1_000;
/** How long the progress of a request shows that its service can be reached, in milliseconds. */
const REACHED_MS = 1_000;
/** Servers at which an entry fails in a row before it counts as cut off from their service. */
const MIN_FAILED_SERVERS = 3;

type ServiceMember = Pick<RoutedWorker, 'id' | 'service'>;

const formatPair = (entryId: string, service: string): string => `${entryId} ${service}`;

const readEntryId = (pair: string): string => pair.slice(0, pair.indexOf(' '));

/**
 * Which entries do not reach which model engines.
 *
 * A report that a request did not reach its server is about the pair: the server may have crashed,
 * or its entry may be cut off. Only that entry avoids the server, until several entries have failed
 * there and none has succeeded in between. An entry that fails at several servers of a service in a
 * row counts as cut off from it, and not against any of them.
 *
 * @example
 * const failedEntries = reach.recordFailure('e1', worker, now);
 * const avoided = reach.listPaused('e1', now); // ['w1']
 */
export class PairReach {
  /** Suspensions of servers for one entry, by the ids of both. */
  private readonly pauses = new Map<string, Map<string, Suspension>>();

  /** Entries that have failed at a server since the last success there. */
  private readonly failedEntries = new Map<string, Set<string>>();

  /** Servers at which an entry has failed since its last success at its service, by both. */
  private readonly failedServers = new Map<string, Set<string>>();

  /** When a request of any entry last made progress, by service. */
  private readonly reachedAt = new Map<string, number>();

  private prunedAt = -Infinity;

  /** Whether any entry has recently reached a server of a service. */
  isReachedByAny(service: string, now: number): boolean {
    return now - (this.reachedAt.get(service) ?? -Infinity) < REACHED_MS;
  }

  /**
   * Records a failure; returns how many entries have failed there since the last success, without
   * those that are cut off from its service.
   */
  recordFailure(entryId: string, { id: workerId, service }: ServiceMember, now: number): number {
    const servers = this.pauses.get(entryId) ?? new Map<string, Suspension>();
    const pause = servers.get(workerId) ?? makeSuspension();
    suspendWorker(pause, now, MAX_PAUSE_MS);
    servers.set(workerId, pause);
    this.pauses.set(entryId, servers);
    const entries = (this.failedEntries.get(workerId) ?? new Set()).add(entryId);
    this.failedEntries.set(workerId, entries);
    const key = formatPair(entryId, service);
    this.failedServers.set(key, (this.failedServers.get(key) ?? new Set()).add(workerId));
    return [...entries].filter((id) => !this.isCutOff(id, service)).length;
  }

  /**
   * Records that a request of an entry made progress at a server; returns whether the server was
   * paused for that entry.
   */
  recordSuccess(entryId: string, { id: workerId, service }: ServiceMember, now: number): boolean {
    this.reachedAt.set(service, now);
    this.failedEntries.delete(workerId);
    this.failedServers.delete(formatPair(entryId, service));
    return this.pauses.get(entryId)?.delete(workerId) ?? false;
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
    this.failedServers.forEach((servers, key) => {
      [...servers].filter((id) => !isServer(id)).forEach((id) => servers.delete(id));
      if (servers.size === 0 || !isEntry(readEntryId(key))) this.failedServers.delete(key);
    });
  }

  private isCutOff(entryId: string, service: string): boolean {
    const { size } = this.failedServers.get(formatPair(entryId, service)) ?? new Set();
    return size >= MIN_FAILED_SERVERS;
  }
}
