import { setTimeout as pause } from 'node:timers/promises';
import type { ListedSuspect } from '../core/quarantine/suspectList';
import type { RoutedWorker } from '../core/routing/routedWorkers';
import { BeechliftError } from '../errors/beechliftError';
import { computeFingerprint } from './requestFingerprint';
import type { RequestContent } from './requestFingerprint';
import type { RequestParts } from './requestParts';

/**
 * Number of servers that crash while they run one request, over all its attempts and resends, after
 * which an entry treats it as a suspect even without the leader.
 */
const MAX_CRASHES = 2;
/** Longest time that a broken attempt waits for the check of its server, in milliseconds. */
const CRASH_CHECK_WAIT_MS = 50;
const SUCCESS = 200;
const REDIRECT = 300;

/**
 * Protects backend servers from a request that crashes every server that runs it. Its callers send
 * it again with other ids and to other entries, and each crash also ends all other requests on the
 * server.
 *
 * @example
 * const guard = new RequestGuard(parts, content);
 * guard.check(); // throws requestQuarantined
 */
export class RequestGuard {
  private computed: string | undefined;

  constructor(
    private readonly parts: Pick<RequestParts, 'site' | 'connections' | 'placeClient' | 'clock'>,
    private readonly content: RequestContent,
  ) {}

  /** Fingerprint of the request, the same for every resend. */
  get fingerprint(): string {
    this.computed ??= computeFingerprint(this.content);
    return this.computed;
  }

  /** Whether the request is not suspect, so that the entry may choose a server by itself. */
  get isUnsuspected(): boolean {
    return this.countLocalCrashes() < MAX_CRASHES && this.findSuspect() === undefined;
  }

  /** Throws if the leader has quarantined the request. */
  check(): void {
    const suspect = this.findSuspect();
    if (!suspect || suspect.refusedMs <= 0) return;
    throw new BeechliftError('requestQuarantined', `${suspect.crashCount} backend servers crashed while they ran request "${this.fingerprint}"`, {
      retryAfterMs: Math.ceil(suspect.refusedMs),
    });
  }

  /**
   * Checks whether a server that broke off the request has crashed, and reports a crash. Resolves
   * once this is known or after a short timeout. The slot must be released only after that, so
   * that the crash counts before other copies of the request are placed.
   */
  async checkForCrash(worker: RoutedWorker): Promise<void> {
    // A server that is leaving shuts down normally.
    if (worker.standing !== 'ready') return;
    const checked = this.parts.connections.hasEnded(worker.address).then((hasEnded) => {
      if (hasEnded) this.reportCrash(worker);
    });
    await Promise.race([checked, pause(CRASH_CHECK_WAIT_MS)]);
  }

  /** Records that a server answered the request completely. */
  recordAnswer(status: number): void {
    const isServed = status >= SUCCESS && status < REDIRECT;
    if (!isServed || (this.countLocalCrashes() === 0 && !this.findSuspect())) return;
    this.parts.placeClient.reportServed(this.fingerprint);
  }

  private reportCrash({ id, born }: RoutedWorker): void {
    this.parts.placeClient.reportCrash({ fingerprint: this.fingerprint, workerId: id, born });
  }

  /*
   * Counts the crashes that this entry has seen. The leader counts those of all entries, but while
   * it is unreachable, each resend would otherwise be treated as a first attempt.
   */
  private countLocalCrashes(): number {
    const { placeClient } = this.parts;
    return placeClient.hasCrashes ? placeClient.countCrashes(this.fingerprint) : 0;
  }

  /** Skips the lookup if there are no suspects, so that most requests need no fingerprint. */
  private findSuspect(): ListedSuspect | undefined {
    const { site, clock } = this.parts;
    if (site.suspects.size === 0) return undefined;
    return site.suspects.find(this.fingerprint, clock.now());
  }
}
