import { setTimeout as pause } from 'node:timers/promises';
import { SiteClient } from '../protocol/generated/beechlift';
import type { WatchReply, WatchRequest } from '../protocol/generated/beechlift';
import type { Logger } from '../telemetry/logger';
import type { Clock, SuspensionWatch } from '../utils/clock';
import { Operation } from '../utils/operation';
import type { RpcLink } from '../wire/rpcLink';
import { LinkTable } from '../wire/linkTable';
import type { RelaySite } from './relaySite';
import { WatchLine } from './watchLine';

/** Silence beyond the hold after which another replica is asked. */
const ANSWER_MS = 350;
/** Replicas that are asked at once who leads: one answers where two of them are lost. */
const SEARCH_WIDTH = 3;
/** How long a replica holds the question who leads, while it knows no leader. */
const SEARCH_HOLD_MS = 1_000;
/** Bounds on the pause before replicas are asked again, after none could be reached. */
const RETRY_MS = 40;
const MAX_RETRY_MS = 250;

const pickSome = (addresses: readonly string[]): string[] => addresses
  .map((address) => ({ address, order: Math.random() }))
  .sort((a, b) => a.order - b.order)
  .slice(0, SEARCH_WIDTH)
  .map(({ address }) => address);

/** Sends a question and resolves with its answer; rejects when none comes in time. */
type QuestionSender = (request: WatchRequest, timeoutMs: number) => Promise<WatchReply>;

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
  private line: WatchLine | undefined;

  private known: readonly string[] = [];

  private stopped = false;

  private isLost = false;

  private retryMs = RETRY_MS;

  constructor(private readonly parts: SiteWatchParts) {}

  /** Begins to ask. */
  start(): void {
    this.run().catch((error: unknown) => this.resume(error));
  }

  /*
   * Guards an entry against an answer that it cannot take in, whatever is wrong with it: one that
   * asked no more would serve nobody until it is restarted.
   */
  private resume(error: unknown): void {
    this.parts.logger.error('asking control failed, and is begun anew', { reason: String(error) });
    setTimeout(() => this.start(), RETRY_MS).unref();
  }

  /** Tells the leader of a new state at once, beside the question that is held. */
  async tell(): Promise<void> {
    if (this.leader !== '') await this.askOnce(this.leader, 0);
  }

  /** The leader as last heard; undefined while none is known. */
  findLeader(): RpcLink<SiteClient> | undefined {
    return this.leader === '' || this.isLost ? undefined : this.links.find(this.leader);
  }

  /** Stops asking. */
  stop(): void {
    this.stopped = true;
    this.line?.close();
    this.links.close();
  }

  private async run(): Promise<void> {
    if (this.stopped) return;
    const reached = this.leader === '' ? await this.search() : await this.askLeader(this.leader);
    if (!reached && !this.stopped) await this.pauseRetry();
    // Begun anew, not waited for: each question that is waited for would keep its memory until the
    // process ends.
    this.start();
  }

  /*
   * Guards replicas that are down, and the entry itself, which a fresh connection costs a
   * millisecond each: they are tried less and less often until one answers.
   */
  private async pauseRetry(): Promise<void> {
    const ms = this.retryMs;
    this.retryMs = Math.min(MAX_RETRY_MS, 2 * ms);
    await pause(ms);
  }

  /**
   * Asks some replicas at once; the first that leads, or that names who does, ends the search.
   *
   * Guards the election of the next leader against the entries that wait for it: one that knows
   * none holds the question until it does.
   */
  private async search(): Promise<boolean> {
    const all = [...new Set([...this.known, ...this.parts.readSeeds()])];
    const asked = pickSome(all).map(async (address) => {
      const reached = await this.askOnce(address, SEARCH_HOLD_MS);
      if (!reached && this.leader === '') throw new Error(`"${address}" knows no leader`);
      return reached;
    });
    return Promise.any(asked).catch(() => false);
  }

  private askOnce(address: string, holdMs: number): Promise<boolean> {
    return this.ask(address, holdMs, (request, timeoutMs) => (
      this.call(address, request, timeoutMs)));
  }

  private askLeader(address: string): Promise<boolean> {
    return this.ask(address, this.parts.site.questionHoldMs, (request, timeoutMs) => (
      this.findLine(address).ask(request, timeoutMs)));
  }

  private findLine(address: string): WatchLine {
    const link = this.links.find(address);
    if (this.line?.isOpen && this.line.link === link) return this.line;
    this.line?.close();
    this.line = new WatchLine(link);
    return this.line;
  }

  private async ask(address: string, holdMs: number, send: QuestionSender): Promise<boolean> {
    const { site, clock, suspension } = this.parts;
    const sentAt = clock.now();
    const epoch = suspension.readEpoch();
    const reply = await send(site.buildRequest(holdMs), holdMs + ANSWER_MS)
      .catch((error: unknown) => this.noteSilent(address, error as Error));
    if (reply) this.retryMs = RETRY_MS;
    if (!reply || reply.leaseMs <= 0) {
      this.noteNoLeader(address, reply);
      return false;
    }
    this.noteLeader(address, reply);
    site.applyReply(reply, sentAt, epoch);
    return true;
  }

  private call(address: string, request: WatchRequest, timeoutMs: number): Promise<WatchReply> {
    return this.links.find(address).call<WatchRequest, WatchReply>(
      (stub) => stub.watch.bind(stub),
      request,
      new Operation({ timeoutMs }),
    );
  }

  private noteSilent(address: string, { message: reason }: Error): undefined {
    if (!this.isLost) this.parts.logger.warn('control replica does not answer', { address, reason });
    return undefined;
  }

  private noteLeader(address: string, reply: WatchReply): void {
    this.leader = address;
    this.known = reply.controlAddresses;
    if (this.isLost) this.parts.logger.info('leader of control found', { address });
    this.isLost = false;
  }

  private noteNoLeader(asked: string, reply: WatchReply | undefined): void {
    const named = reply?.leaderAddress ?? '';
    if (reply && reply.controlAddresses.length > 0) this.known = reply.controlAddresses;
    if (this.leader !== '' && this.leader !== asked) return;
    // One that names itself, or the one that has just failed, leads nowhere.
    this.leader = named === asked ? '' : named;
    if (!this.isLost) this.parts.logger.warn('leader of control lost', { asked, named });
    this.isLost = true;
  }
}
