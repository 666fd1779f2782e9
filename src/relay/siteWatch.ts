import { randomUUID } from 'node:crypto';
import { setTimeout as pause } from 'node:timers/promises';
import { SiteClient } from '../protocol/generated/beechlift';
import type { WatchReply, WatchRequest } from '../protocol/generated/beechlift';
import { needsDelegates } from '../core/routing/messageIntervals';
import type { Logger } from '../telemetry/logger';
import { BeechliftError } from '../errors/beechliftError';
import type { Clock, SuspensionDetector } from '../utils/clock';
import { Operation } from '../utils/operation';
import { rankByRendezvous } from '../utils/rendezvous';
import type { RpcLink } from '../wire/rpcLink';
import { LinkTable } from '../wire/linkTable';
import type { RelaySite } from './relaySite';
import { WatchStream } from './watchStream';

/** Wait for a reply beyond the hold time, in milliseconds, before another replica is asked. */
const REPLY_TIMEOUT_MS = 350;
/**
 * Time limit of a watch request to the leader, in multiples of the time after which its reply is
 * late. A slow leader has done most of the work for it by then, and would do all of it again.
 */
const LATE_REPLY_FACTOR = 2;
/** Replicas that are asked for the leader at once: one still answers if two of them are down. */
const SEARCH_WIDTH = 3;
/** How long a replica that knows no leader holds a request for the leader, in milliseconds. */
const SEARCH_HOLD_MS = 1_000;
/** Bounds on the delay before the next try once no replica was reachable, in milliseconds. */
const MIN_RETRY_DELAY_MS = 40;
const MAX_RETRY_DELAY_MS = 250;

/** A watch request to the leader that was not answered yet. */
interface OpenWatch {
  readonly address: string;
  /** Resolves with whether the leader answered. */
  readonly answered: Promise<boolean>;
}

const pickReplicas = (addresses: readonly string[]): string[] => addresses
  .map((address) => ({ address, order: Math.random() }))
  .sort((a, b) => a.order - b.order)
  .slice(0, SEARCH_WIDTH)
  .map(({ address }) => address);

/** Shortest time between two log lines on failed calls while the leader is lost, in ms. */
const FAILURE_LOG_MS = 1_000;

/** Sends a watch request and resolves with its reply; rejects if none is received in time. */
type WatchSender = (request: WatchRequest, timeoutMs: number) => Promise<WatchReply>;

/** Dependencies of the watch. */
export interface SiteWatchParts {
  readonly site: RelaySite;
  /** Returns the addresses of the replicas in the settings. */
  readonly readSeeds: () => readonly string[];
  readonly clock: Clock;
  readonly suspension: SuspensionDetector;
  readonly logger: Logger;
}

/**
 * Sends watch requests to the control leader, one after another. Each reply renews the lease and
 * contains the changes since the last one. Finds the leader by asking several replicas.
 *
 * @example
 * const watch = new SiteWatch(parts);
 * watch.start();
 */
export class SiteWatch {
  private readonly links = new LinkTable(SiteClient, 'infrequent');

  private leader = '';

  /** Stream to the leader; undefined until it is found. */
  private watchStream: WatchStream | undefined;

  /** The watch request on that stream, until it is answered or given up. */
  private openWatch: OpenWatch | undefined;

  private knownReplicas: readonly string[] = [];

  /**
   * Replicas that may pass messages on, in an order of this entry's own. It is the same under each
   * leader, so that the entries of a replica stay there when another one leads.
   */
  private rankedHubs: readonly string[] = [];

  private stopped = false;

  private isLeaderLost = false;

  private isTableRequested = false;

  /** Failed calls to control since the last log line on one. */
  private failedCalls = 0;

  private failureLoggedAt = -Infinity;

  private retryDelayMs = MIN_RETRY_DELAY_MS;

  constructor(private readonly parts: SiteWatchParts) {}

  /** Starts to send watch requests. */
  start(): void {
    this.run().catch((error: unknown) => this.restart(error));
  }

  /*
   * Keeps the watch running after a reply that cannot be processed: without watch requests the
   * entry would serve nobody until it is restarted.
   */
  private restart(error: unknown): void {
    this.logFailure(error);
    setTimeout(() => this.start(), MIN_RETRY_DELAY_MS).unref();
  }

  private logFailure(error: unknown): void {
    this.parts.logger.error('watching control failed and goes on', { reason: String(error) });
  }

  /** Sends a new state to the leader at once, in addition to the watch request that it holds. */
  async sendState(): Promise<void> {
    if (this.leader !== '') await this.watchOnce(this.leader, 0);
  }

  /**
   * Asks the leader for its server table at once, in addition to the watch request that it holds;
   * does nothing while such a request is open.
   */
  requestTable(): void {
    if (this.isTableRequested || this.leader === '') return;
    this.isTableRequested = true;
    this.watchOnce(this.leader, 0)
      .catch((error: unknown) => this.logFailure(error))
      .finally(() => {
        this.isTableRequested = false;
      });
  }

  /** Returns the connection to the last known leader; undefined while none is known. */
  findLeader(): RpcLink<SiteClient> | undefined {
    return this.leader === '' || this.isLeaderLost ? undefined : this.links.find(this.leader);
  }

  /**
   * Returns the connection to a replica that grants slots for the leader, and passes on what only
   * the leader decides; undefined on sites with few entries.
   *
   * @example
   * const link = watch.findHub() ?? watch.findLeader();
   */
  findHub(): RpcLink<SiteClient> | undefined {
    if (!needsDelegates(this.parts.site.entryCount)) return undefined;
    const address = this.rankedHubs.find((replica) => replica !== this.leader);
    return address === undefined ? undefined : this.links.find(address);
  }

  /** Draws anew which replica passes placement messages on. */
  changeHub(): void {
    this.rankHubs(randomUUID());
  }

  private rankHubs(key: string): void {
    this.rankedHubs = rankByRendezvous(key, this.knownReplicas);
  }

  private setReplicas(addresses: readonly string[]): void {
    const isSame = addresses.length === this.knownReplicas.length
      && addresses.every((address) => this.knownReplicas.includes(address));
    this.knownReplicas = addresses;
    if (!isSame) this.rankHubs(this.parts.site.entryId);
  }

  /** Stops sending watch requests. */
  stop(): void {
    this.stopped = true;
    this.watchStream?.close();
    this.links.close();
  }

  private async run(): Promise<void> {
    if (this.stopped) return;
    const reached = this.leader === ''
      ? await Promise.race([this.searchLeader(), this.waitForLateReply()])
      : await this.watchLeader(this.leader);
    if (!reached && !this.stopped) await this.waitBeforeRetry();
    // Started without await: an unending chain of awaited calls would never release its memory.
    this.start();
  }

  /*
   * Backs off exponentially until a replica answers: every new connection costs processor time,
   * here and at replicas that are starting.
   */
  private async waitBeforeRetry(): Promise<void> {
    const ms = this.retryDelayMs;
    this.retryDelayMs = Math.min(MAX_RETRY_DELAY_MS, 2 * ms);
    await pause(ms);
  }

  /**
   * Asks some replicas at once. The search ends with the first one that is the leader or names it.
   *
   * A replica that knows no leader holds the request until it knows one, so that waiting entries
   * do not slow the election down.
   */
  private async searchLeader(): Promise<boolean> {
    const all = [...new Set([...this.knownReplicas, ...this.parts.readSeeds()])];
    const { openWatch } = this;
    const others = all.filter((address) => address !== openWatch?.address);
    if (openWatch && others.length === 0) return openWatch.answered;
    const searches = pickReplicas(others).map(async (address) => {
      const reached = await this.watchOnce(address, SEARCH_HOLD_MS);
      if (!reached && this.leader === '') throw new Error(`replica "${address}" knows no leader`);
      return reached;
    });
    return Promise.any(searches).catch(() => false);
  }

  private watchOnce(address: string, holdMs: number): Promise<boolean> {
    return this.sendWatch(address, holdMs, (request, timeoutMs) => (
      this.callWatch(address, request, timeoutMs)));
  }

  /**
   * Sends a watch request to the leader, or waits on for the reply to the last one. A late reply
   * lets other replicas be asked for the leader, but the request stays open: it is not repeated.
   */
  private async watchLeader(address: string): Promise<boolean> {
    if (this.openWatch?.address !== address) this.openWatch = this.beginWatch(address);
    const lateMs = this.parts.site.watchHoldMs + REPLY_TIMEOUT_MS;
    let timer: NodeJS.Timeout | undefined;
    const late = new Promise<undefined>((resolve) => {
      timer = setTimeout(() => resolve(undefined), lateMs);
    });
    const reached = await Promise.race([this.openWatch.answered, late])
      .finally(() => clearTimeout(timer));
    if (reached !== undefined) return reached;
    this.logUnreachable(address, new BeechliftError('noQuorum', `no answer within ${lateMs} ms`));
    this.handleNoLeader(address, undefined);
    return true;
  }

  private beginWatch(address: string): OpenWatch {
    const answered = this.sendWatch(address, this.parts.site.watchHoldMs, (request, lateMs) => (
      this.findStream(address).sendRequest(request, LATE_REPLY_FACTOR * lateMs)));
    const openWatch = { address, answered };
    const clear = (): void => {
      if (this.openWatch === openWatch) this.openWatch = undefined;
    };
    answered.then(clear, clear);
    return openWatch;
  }

  /** Resolves once the open watch request is answered; never if it is given up. */
  private waitForLateReply(): Promise<boolean> {
    return new Promise((resolve) => {
      this.openWatch?.answered.then((reached) => {
        if (reached) resolve(true);
      }, (error: unknown) => this.logFailure(error));
    });
  }

  private findStream(address: string): WatchStream {
    const link = this.links.find(address);
    if (this.watchStream?.isOpen && this.watchStream.link === link) return this.watchStream;
    this.watchStream?.close();
    this.watchStream = new WatchStream(link);
    return this.watchStream;
  }

  private async sendWatch(address: string, holdMs: number, send: WatchSender): Promise<boolean> {
    const { site, clock, suspension } = this.parts;
    const sentAt = clock.now();
    const epoch = suspension.readEpoch();
    const request = site.buildWatchRequest(holdMs);
    const reply = await send(request, holdMs + REPLY_TIMEOUT_MS)
      .catch((error: unknown) => this.logUnreachable(address, error as Error));
    if (reply) this.retryDelayMs = MIN_RETRY_DELAY_MS;
    if (!reply || reply.leaseMs <= 0) {
      this.handleNoLeader(address, reply);
      return false;
    }
    this.setLeader(address, reply);
    site.applyReply(reply, sentAt, epoch, request.workersEpoch);
    site.accounts.recordTold(request, reply);
    site.loadReports.recordTold(request, reply, clock.now());
    return true;
  }

  private callWatch(
    address: string,
    request: WatchRequest,
    timeoutMs: number,
  ): Promise<WatchReply> {
    return this.links.find(address).call<WatchRequest, WatchReply>(
      (stub) => stub.watch.bind(stub),
      request,
      new Operation({ timeoutMs }),
    );
  }

  private logUnreachable(address: string, { message: reason }: Error): undefined {
    const now = this.parts.clock.now();
    this.failedCalls += 1;
    if (this.isLeaderLost && now - this.failureLoggedAt < FAILURE_LOG_MS) return undefined;
    this.parts.logger.warn('control replica did not answer', { address, reason, failedCalls: this.failedCalls });
    this.failedCalls = 0;
    this.failureLoggedAt = now;
    return undefined;
  }

  private setLeader(address: string, reply: WatchReply): void {
    this.leader = address;
    this.setReplicas(reply.controlAddresses);
    if (this.isLeaderLost) this.parts.logger.info('control leader found', { address });
    this.isLeaderLost = false;
  }

  private handleNoLeader(asked: string, reply: WatchReply | undefined): void {
    const named = reply?.leaderAddress ?? '';
    if (reply && reply.controlAddresses.length > 0) this.setReplicas(reply.controlAddresses);
    if (this.leader !== '' && this.leader !== asked) return;
    this.parts.site.accounts.recordLostLeader();
    // The asked replica has just failed to answer as the leader, even if it names itself.
    this.leader = named === asked ? '' : named;
    if (!this.isLeaderLost) this.parts.logger.warn('control leader lost', { asked, named });
    this.isLeaderLost = true;
  }
}
