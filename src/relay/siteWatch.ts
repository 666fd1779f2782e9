import { setTimeout as pause } from 'node:timers/promises';
import { SiteClient } from '../protocol/generated/beechlift';
import type { WatchReply, WatchRequest } from '../protocol/generated/beechlift';
import type { Logger } from '../telemetry/logger';
import type { Clock, SuspensionWatch } from '../utils/clock';
import { Operation } from '../utils/operation';
import type { RpcLink } from '../wire/rpcLink';
import { LinkTable } from '../wire/linkTable';
import type { RelaySite } from './relaySite';
import { WatchStream } from './watchStream';

/** Silence beyond the hold after which another replica is asked. */
const REPLY_TIMEOUT_MS = 350;
/** Replicas that are asked at once who leads: one answers where two of them are lost. */
const SEARCH_WIDTH = 3;
/** How long a replica holds the question who leads, while it knows no leader. */
const SEARCH_HOLD_MS = 1_000;
/** Bounds on the pause before replicas are asked again, after none could be reached. */
const MIN_RETRY_DELAY_MS = 40;
const MAX_RETRY_DELAY_MS = 250;

const pickReplicas = (addresses: readonly string[]): string[] => addresses
  .map((address) => ({ address, order: Math.random() }))
  .sort((a, b) => a.order - b.order)
  .slice(0, SEARCH_WIDTH)
  .map(({ address }) => address);

/** Sends a question and resolves with its answer; rejects when none comes in time. */
type WatchSender = (request: WatchRequest, timeoutMs: number) => Promise<WatchReply>;

/** What the watch needs. */
export interface SiteWatchParts {
  readonly site: RelaySite;
  /** Replicas that the settings name. */
  readonly readSeeds: () => readonly string[];
  readonly clock: Clock;
  readonly suspension: SuspensionWatch;
  readonly logger: Logger;
}

/**
 * Keeps asking the leader of control, which renews the lease and brings whatever changed. Finds the
 * leader by asking the replicas in turn.
 *
 * @example
 * const watch = new SiteWatch(parts);
 * watch.start();
 */
export class SiteWatch {
  private readonly links = new LinkTable(SiteClient, 'calm');

  private leader = '';

  /** Where the leader is asked, once it is found. */
  private watchStream: WatchStream | undefined;

  private knownReplicas: readonly string[] = [];

  private stopped = false;

  private isLeaderLost = false;

  private retryDelayMs = MIN_RETRY_DELAY_MS;

  constructor(private readonly parts: SiteWatchParts) {}

  /** Begins to ask. */
  start(): void {
    this.run().catch((error: unknown) => this.restart(error));
  }

  /*
   * Guards an entry against an answer that it cannot take in, whatever is wrong with it: one that
   * asked no more would serve nobody until it is restarted.
   */
  private restart(error: unknown): void {
    this.parts.logger.error('asking control failed, and is begun anew', { reason: String(error) });
    setTimeout(() => this.start(), MIN_RETRY_DELAY_MS).unref();
  }

  /** Tells the leader of a new state at once, beside the question that is held. */
  async sendState(): Promise<void> {
    if (this.leader !== '') await this.watchOnce(this.leader, 0);
  }

  /** The leader as last heard; undefined while none is known. */
  findLeader(): RpcLink<SiteClient> | undefined {
    return this.leader === '' || this.isLeaderLost ? undefined : this.links.find(this.leader);
  }

  /** Stops asking. */
  stop(): void {
    this.stopped = true;
    this.watchStream?.close();
    this.links.close();
  }

  private async run(): Promise<void> {
    if (this.stopped) return;
    const reached = this.leader === '' ? await this.searchLeader() : await this.watchLeader(this.leader);
    if (!reached && !this.stopped) await this.waitBeforeRetry();
    // Begun anew, not waited for: each question that is waited for would keep its memory until the
    // process ends.
    this.start();
  }

  /*
   * Guards replicas that are down, and the entry itself, which a fresh connection costs a
   * millisecond each: they are tried less and less often until one answers.
   */
  private async waitBeforeRetry(): Promise<void> {
    const ms = this.retryDelayMs;
    this.retryDelayMs = Math.min(MAX_RETRY_DELAY_MS, 2 * ms);
    await pause(ms);
  }

  /**
   * Asks some replicas at once; the first that leads, or that names who does, ends the search.
   *
   * Guards the election of the next leader against the entries that wait for it: one that knows
   * none holds the question until it does.
   */
  private async searchLeader(): Promise<boolean> {
    const all = [...new Set([...this.knownReplicas, ...this.parts.readSeeds()])];
    const searches = pickReplicas(all).map(async (address) => {
      const reached = await this.watchOnce(address, SEARCH_HOLD_MS);
      if (!reached && this.leader === '') throw new Error(`"${address}" knows no leader`);
      return reached;
    });
    return Promise.any(searches).catch(() => false);
  }

  private watchOnce(address: string, holdMs: number): Promise<boolean> {
    return this.sendWatch(address, holdMs, (request, timeoutMs) => (
      this.callWatch(address, request, timeoutMs)));
  }

  private watchLeader(address: string): Promise<boolean> {
    return this.sendWatch(address, this.parts.site.watchHoldMs, (request, timeoutMs) => (
      this.findStream(address).sendRequest(request, timeoutMs)));
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
    const reply = await send(site.buildWatchRequest(holdMs), holdMs + REPLY_TIMEOUT_MS)
      .catch((error: unknown) => this.logUnreachable(address, error as Error));
    if (reply) this.retryDelayMs = MIN_RETRY_DELAY_MS;
    if (!reply || reply.leaseMs <= 0) {
      this.handleNoLeader(address, reply);
      return false;
    }
    this.setLeader(address, reply);
    site.applyReply(reply, sentAt, epoch);
    return true;
  }

  private callWatch(address: string, request: WatchRequest, timeoutMs: number): Promise<WatchReply> {
    return this.links.find(address).call<WatchRequest, WatchReply>(
      (stub) => stub.watch.bind(stub),
      request,
      new Operation({ timeoutMs }),
    );
  }

  private logUnreachable(address: string, { message: reason }: Error): undefined {
    if (!this.isLeaderLost) this.parts.logger.warn('control replica does not answer', { address, reason });
    return undefined;
  }

  private setLeader(address: string, reply: WatchReply): void {
    this.leader = address;
    this.knownReplicas = reply.controlAddresses;
    if (this.isLeaderLost) this.parts.logger.info('leader of control found', { address });
    this.isLeaderLost = false;
  }

  private handleNoLeader(asked: string, reply: WatchReply | undefined): void {
    const named = reply?.leaderAddress ?? '';
    if (reply && reply.controlAddresses.length > 0) this.knownReplicas = reply.controlAddresses;
    if (this.leader !== '' && this.leader !== asked) return;
    // One that names itself, or the one that has just failed, leads nowhere.
    this.leader = named === asked ? '' : named;
    if (!this.isLeaderLost) this.parts.logger.warn('leader of control lost', { asked, named });
    this.isLeaderLost = true;
  }
}
