import { setTimeout as pause } from 'node:timers/promises';
import type { ListedSuspect } from '../core/quarantine/suspectList';
import type { RoutedWorker } from '../core/routing/routedWorkers';
import { BeechliftError } from '../errors/beechliftError';
import { computeFingerprint } from './requestFingerprint';
import type { RequestContent } from './requestFingerprint';
import type { RequestParts } from './requestParts';

/**
 * Ends of servers under one request, in whichever attempts of its callers, after which its entry
 * does not send it again by itself.
 */
const MAX_CRASHES = 2;
/** Longest that a broken attempt waits for news of its server, in milliseconds. */
const CRASH_CHECK_WAIT_MS = 50;
const SUCCESS = 200;
const REDIRECT = 300;

/**
 * Guards backend servers against one request that ends each of them: it comes again under other
 * ids, at any entry, and takes all that runs beside it along.
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

  /** The same for each resend of the request. */
  get fingerprint(): string {
    this.computed ??= computeFingerprint(this.content);
    return this.computed;
  }

  /** Whether nothing is known against it, so that the entry may choose servers by itself. */
  get isFree(): boolean {
    return this.countLocalCrashes() < MAX_CRASHES && this.findSuspect() === undefined;
  }

  /** Throws for a request that the leader has found to end servers. */
  check(): void {
    const suspect = this.findSuspect();
    if (!suspect || suspect.refusedMs <= 0) return;
    throw new BeechliftError('requestQuarantined', `${suspect.crashCount} backend servers ended under request "${this.fingerprint}"`, {
      retryAfterMs: Math.ceil(suspect.refusedMs),
    });
  }

  /**
   * Notes that a server broke off while it had the request. Resolves once it is known whether the
   * server has ended, or a moment later: whoever waits for its slot is decided on after that.
   */
  async checkForCrash(worker: RoutedWorker): Promise<void> {
    // A server that leaves ends in order.
    if (worker.standing !== 'ready') return;
    const checked = this.parts.connections.hasEnded(worker.address).then((hasEnded) => {
      if (hasEnded) this.reportCrash(worker);
    });
    await Promise.race([checked, pause(CRASH_CHECK_WAIT_MS)]);
  }

  /** Notes that a server answered it whole. */
  recordAnswer(status: number): void {
    const isServed = status >= SUCCESS && status < REDIRECT;
    if (!isServed || (this.countLocalCrashes() === 0 && !this.findSuspect())) return;
    this.parts.placeClient.reportServed(this.fingerprint);
  }

  private reportCrash({ id, born }: RoutedWorker): void {
    this.parts.placeClient.reportCrash({ fingerprint: this.fingerprint, workerId: id, born });
  }

  /*
   * Guards against a request that comes again while the leader, who adds its ends up, is out of
   * reach: each of its attempts would be the first.
   */
  private countLocalCrashes(): number {
    const { placeClient } = this.parts;
    return placeClient.hasCrashes ? placeClient.countCrashes(this.fingerprint) : 0;
  }

  /** Looked up only where there are suspects: most requests need no fingerprint. */
  private findSuspect(): ListedSuspect | undefined {
    const { site, clock } = this.parts;
    if (site.suspects.size === 0) return undefined;
    return site.suspects.find(this.fingerprint, clock.now());
  }
}
