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

/** How long the leader holds a question without news: this bounds how old loads and shares are. */
const HOLD_MS = 200;
/** Silence beyond the hold after which another replica is asked. */
const ANSWER_MS = 350;
/** Pause before the next replica is asked, after one that could not help. */
const RETRY_MS = 40;

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
  private readonly links = new LinkTable(SiteClient);

  private leader = '';

  /** Where the leader is asked, once it is found. */
  private line: WatchLine | undefined;

  private known: readonly string[] = [];

  private stopped = false;

  private isLost = false;

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
    if (!reached && !this.stopped) await pause(RETRY_MS);
    // Begun anew, not waited for: each question that is waited for keeps some 0.4 KB until the
    // process ends, 190 MB a day at five a second (300,000 in a row, after a collection).
    this.start();
  }

  /** Asks all replicas at once; the first that leads, or that names who does, ends the search. */
  private async search(): Promise<boolean> {
    const all = [...new Set([...this.known, ...this.parts.readSeeds()])];
    const asked = all.map(async (address) => {
      const reached = await this.askOnce(address, HOLD_MS);
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
    return this.ask(address, HOLD_MS, (request, timeoutMs) => (
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
