/** Result of a new connection to a backend server, or of an attempt to open one. */
export type ConnectResult = 'opened' | 'refused' | 'timedOut';

/** A server whose connections failed, and when the last one did, monotonic milliseconds. */
interface FailedServer {
  readonly id: string;
  readonly at: number;
}

/** How long a failed connection counts, in milliseconds. */
const FAILURE_MS = 2_000;
/** Servers that must have failed before others are probed. */
const MIN_FAILED_SERVERS = 2;
/** Most servers that are probed at once: some of them may be down at the same time. */
const MAX_PROBES = 4;
/** Time between two rounds of probes while no server is reached, in milliseconds. */
const CUT_OFF_PROBE_MS = 500;
/** Time after which servers are probed again although one was reached, in milliseconds. */
const REACHED_PROBE_MS = 2_000;

/**
 * Decides whether an entry is cut off from all backend servers.
 *
 * Only new connections count: those that are open may live on through a cut. A server that refuses
 * them may have ended, so failures at two servers are a suspicion that probes of other servers
 * confirm or refute.
 *
 * @example
 * reach.recordConnect('w1', 'refused', now);
 * const ids = reach.takeProbes(['w1', 'w2', 'w3'], now); // to connect to; empty if none is due
 * reach.recordProbes(['refused', 'refused', 'refused'], now); // true: the state has changed
 */
export class ServerReach {
  private failed: readonly FailedServer[] = [];

  private probeDueAt = -Infinity;

  private probing = false;

  /** Whether no server accepts a new connection. */
  isCutOff = false;

  /** Whether new ones are not even refused, so that open ones carry nothing either. */
  isSilent = false;

  /** Records a connection that was opened, or failed, for a request. */
  recordConnect(id: string, result: ConnectResult, now: number): void {
    if (result === 'opened') {
      this.failed = [];
      return;
    }
    const others = this.failed.filter((server) => server.id !== id);
    this.failed = [...others.slice(1 - MAX_PROBES), { id, at: now }];
  }

  /** Whether `takeProbes` may return servers. */
  canProbe(now: number): boolean {
    return !this.probing && now >= this.probeDueAt && (this.isCutOff || this.failed.length > 0);
  }

  /**
   * Returns the servers to probe now, none if no round is due. Those that have not failed go first.
   *
   * @param readyIds ids of the servers that accept requests, in random order
   */
  takeProbes(readyIds: readonly string[], now: number): readonly string[] {
    this.failed = this.failed.filter(({ at }) => now - at < FAILURE_MS);
    const isSuspected = this.failed.length >= Math.min(MIN_FAILED_SERVERS, readyIds.length);
    const isNeeded = this.isCutOff || isSuspected;
    if (!this.canProbe(now) || !isNeeded || readyIds.length === 0) return [];
    this.probing = true;
    const hasFailed = (id: string): boolean => this.failed.some((server) => server.id === id);
    const others = readyIds.filter((id) => !hasFailed(id));
    return [...others, ...readyIds.filter(hasFailed)].slice(0, MAX_PROBES);
  }

  /** Records the results of a round of probes; returns whether `isCutOff` has changed. */
  recordProbes(results: readonly ConnectResult[], now: number): boolean {
    const wasCutOff = this.isCutOff;
    this.probing = false;
    this.isCutOff = results.length > 0 && !results.includes('opened');
    this.isSilent = this.isCutOff && results.every((result) => result === 'timedOut');
    this.probeDueAt = now + (this.isCutOff ? CUT_OFF_PROBE_MS : REACHED_PROBE_MS);
    if (!this.isCutOff) this.failed = [];
    return this.isCutOff !== wasCutOff;
  }
}
