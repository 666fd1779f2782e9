import { setTimeout as pause } from 'node:timers/promises';
import { formatPartKey, isPartKey } from '../core/quarantine/promptPart';
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
/** The same for a part of its prompt, which honest requests share. */
const MAX_PART_CRASHES = 3;
/** Longest time that a broken attempt waits for the check of its server, in milliseconds. */
const CRASH_CHECK_WAIT_MS = 50;
const SUCCESS = 200;
const REDIRECT = 300;

/** The parts of a request's prompt that others share, and the service that runs it. */
export interface PromptParts {
  readonly service: string;
  readonly promptParts: readonly string[];
}

interface ListedKey { readonly key: string; readonly suspect: ListedSuspect }

/**
 * Protects backend servers from a request that crashes every server that runs it. Its callers send
 * it again with other ids and to other entries, and each crash also ends all other requests on the
 * server. The same holds for a part of prompts that requests share.
 *
 * @example
 * const guard = new RequestGuard(parts, content, { service: 'rooms', promptParts: ['5c'] });
 * guard.check(); // throws requestQuarantined
 */
export class RequestGuard {
  private computed: string | undefined;

  private readonly partKeys: readonly string[];

  constructor(
    private readonly parts: Pick<RequestParts, 'site' | 'connections' | 'placeClient' | 'clock'>,
    private readonly content: RequestContent,
    { service, promptParts }: PromptParts,
  ) {
    this.partKeys = promptParts.map((part) => formatPartKey(service, part));
  }

  /** Fingerprint of the request, the same for every resend. */
  get fingerprint(): string {
    this.computed ??= computeFingerprint(this.content);
    return this.computed;
  }

  /** Whether the request is not suspect, so that the entry may choose a server by itself. */
  get isUnsuspected(): boolean {
    const { site, placeClient } = this.parts;
    if (site.suspects.size === 0 && !placeClient.hasCrashes) return true;
    return this.countLocalCrashes(this.fingerprintOnly) < MAX_CRASHES
      && this.countLocalCrashes(this.partKeys) < MAX_PART_CRASHES
      && this.findSuspects(this.fingerprintOnly).length === 0
      && this.findRefused() === undefined;
  }

  /** Throws if the leader has quarantined the request or a part of its prompt. */
  check(): void {
    const refused = this.findRefused();
    if (!refused) return;
    const { key, suspect } = refused;
    const subject = isPartKey(key) ? 'requests with prompt part' : 'request';
    throw new BeechliftError('requestQuarantined', `${suspect.crashCount} backend servers crashed while they ran ${subject} "${key}"`, {
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
    const { site, placeClient, clock } = this.parts;
    if (status < SUCCESS || status >= REDIRECT) return;
    site.answeredParts.record(this.partKeys, clock.now());
    const isQuiet = site.suspects.size === 0 && !placeClient.hasCrashes;
    if (isQuiet) return;
    this.keys
      .filter((key) => this.countLocalCrashes([key]) > 0 || this.findSuspects([key]).length > 0)
      .forEach((key) => placeClient.reportServed(key));
  }

  private get fingerprintOnly(): readonly string[] {
    return [this.fingerprint];
  }

  /** What may be the cause of a crash: the request, and the parts of its prompt. */
  private get keys(): readonly string[] {
    return [this.fingerprint, ...this.partKeys];
  }

  private reportCrash({ id, born }: RoutedWorker): void {
    const { site, placeClient, clock } = this.parts;
    const now = clock.now();
    this.keys
      .filter((key) => !site.answeredParts.has(key, now))
      .forEach((fingerprint) => placeClient.reportCrash({ fingerprint, workerId: id, born }));
  }

  /*
   * Counts the crashes that this entry has seen. The leader counts those of all entries, but while
   * it is unreachable, each resend would otherwise be treated as a first attempt.
   */
  private countLocalCrashes(keys: readonly string[]): number {
    const { placeClient } = this.parts;
    if (keys.length === 0 || !placeClient.hasCrashes) return 0;
    return Math.max(...keys.map((key) => placeClient.countCrashes(key)));
  }

  /** Skips the lookup if there are no suspects, so that most requests need no fingerprint. */
  private findSuspects(keys: readonly string[]): ListedKey[] {
    const { site, clock } = this.parts;
    const now = clock.now();
    return keys.flatMap((key) => {
      const suspect = site.suspects.find(key, now);
      return suspect ? [{ key, suspect }] : [];
    });
  }

  /** Finds what is refused for the longest time. */
  private findRefused(): ListedKey | undefined {
    if (this.parts.site.suspects.size === 0) return undefined;
    return this.findSuspects(this.keys)
      .filter(({ suspect }) => suspect.refusedMs > 0)
      .sort((one, other) => other.suspect.refusedMs - one.suspect.refusedMs)[0];
  }
}
