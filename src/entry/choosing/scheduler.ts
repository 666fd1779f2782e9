import { setTimeout as pause } from 'node:timers/promises';
import { PeerClient } from '../../protocol/generated/beechlift';
import type {
  Announcement, AskReply, AskRequest, Member, RegisterRequest, ReportRequest, RunningRequest,
} from '../../protocol/generated/beechlift';
import { findOwner } from '../../core/membership/entrySelection';
import { GRANT_TIMEOUT_MS } from '../../core/schedule/grantSystem';
import { DEFAULT_POLICY, makeScheduleTables } from '../../core/schedule/scheduleTables';
import type { PolicySettings } from '../../core/schedule/scheduleTypes';
import { BeechliftError } from '../../errors/beechliftError';
import { resultCodes } from '../../errors/resultCodes';
import type { Clock } from '../../utils/clock';
import { Operation } from '../../utils/operation';
import type { LinkTable } from '../../wire/linkTable';
import type { Configuration } from '../inForce/configuration';
import { AnnouncementForwarder } from './announcementForwarder';
import { makeOwnerMovedReply } from './ownerMovedReply';
import type { OrderSender } from './orderSender';
import { PoolOwner } from './poolOwner';
import type { OrderEffect } from './poolOwner';

const PEER_TIMEOUT_MS = 800;
const OWNER_RETRY_MS = 100;
/**
 * Time after which grants of a pool's previous owner can no longer start. It may grant slots for up
 * to three seconds, until it receives the new view or its lease expires.
 */
const HANDOVER_MS = GRANT_TIMEOUT_MS + 3_000;

/** A running request with its pool. */
export interface PooledRequest {
  readonly pool: string;
  readonly running: RunningRequest;
}

/** Dependencies of the scheduler. */
export interface SchedulerParts {
  readonly id: string;
  readonly configuration: Configuration;
  readonly peers: LinkTable<PeerClient>;
  readonly clock: Clock;
  /** Lists the requests that this entry has dispatched and not finished. */
  readonly listRunning: () => readonly PooledRequest[];
  readonly orders: OrderSender;
  /** Requests the current members from control; resolves also when control does not answer. */
  readonly refreshView: () => Promise<unknown>;
  readonly policy?: PolicySettings;
}

/**
 * Routes slot requests, reports and announcements to their pool's owner: this entry or a peer.
 *
 * @example
 * const reply = await scheduler.ask(ask, operation);
 */
export class Scheduler {
  private readonly owners = new Map<string, PoolOwner>();

  private readonly forwarder: AnnouncementForwarder;

  /** Number of the view in which each pool's owner last received an empty list of requests. */
  private readonly registeredEmpty = new Map<string, number>();

  private readonly policy: PolicySettings;

  /** Number of slot requests so far; sent with them and with reports to identify the latest. */
  private askNumber = 0;

  constructor(private readonly parts: SchedulerParts) {
    this.policy = parts.policy ?? DEFAULT_POLICY;
    this.forwarder = new AnnouncementForwarder({
      ...parts,
      hasSharedOwner: this.policy.name === 'owner',
      findOwner: (pool) => this.findOwnerMember(pool),
      applyAnnouncement: (announcement) => this.findOrTakeOver(announcement.pool)
        ?.announce(announcement),
    });
    parts.configuration.addListener({
      onManifestChange: () => this.updateOwners(),
      onMembersChange: (members) => this.handleView(members),
    });
  }

  /** Lists the pools that this entry owns. */
  listOwned(): readonly PoolOwner[] {
    return [...this.owners.values()];
  }

  /** Waits for a slot from the pool's owner; asks the new owner when the ownership changes. */
  async ask(
    fields: Omit<AskRequest, 'askNumber'>,
    operation: Operation,
    headers: Readonly<Record<string,
      string>> = {},
  ): Promise<AskReply> {
    if (operation.signal.aborted) throw new BeechliftError('callerGone', 'the caller disconnected');
    this.askNumber += 1;
    const ask = { ...fields, askNumber: this.askNumber };
    const reply = await this.askOwner(ask, operation, headers);
    if (reply && reply.code !== resultCodes.ownerMoved.number) return reply;
    if (operation.remainingMs <= OWNER_RETRY_MS) {
      throw new BeechliftError('noSlotInTime', `the owner of pool "${ask.pool}" did not answer in time`, { steps: operation.steps, retryAfterMs: PEER_TIMEOUT_MS });
    }
    operation.recordStep(`the owner of pool "${ask.pool}" changed or does not answer`);
    await pause(OWNER_RETRY_MS);
    const deadlineMs = Math.max(0, ask.deadlineMs - OWNER_RETRY_MS);
    return this.ask({ ...ask, deadlineMs }, operation, headers);
  }

  /** Handles the slot request of an entry in whose view this entry owns the pool. */
  handleAsk(ask: AskRequest, onCancel: (listener: () => void) => void): Promise<AskReply> {
    const owner = this.findOrTakeOver(ask.pool);
    if (!owner) return Promise.resolve(this.makeNotOwnerReply(ask.pool));
    const reply = owner.ask(ask);
    // Registered afterwards, because the call may already be cancelled when it is handled.
    onCancel(() => owner.drop(ask));
    return reply;
  }

  /**
   * Reports the progress of a granted request to the owner. A lost report is corrected by the next
   * `register`.
   */
  report(fields: Omit<ReportRequest, 'askNumber'>): void {
    const owner = this.findOwnerMember(fields.pool);
    if (!owner) return;
    const report = { ...fields, askNumber: this.askNumber };
    if (owner.id === this.parts.id) {
      this.findOrTakeOver(report.pool)?.report(report);
      return;
    }
    this.parts.peers.find(owner.peerAddress).call<ReportRequest, object>(
      (stub) => stub.report.bind(stub) as never,
      report,
      new Operation({ timeoutMs: PEER_TIMEOUT_MS }),
    ).catch(() => undefined);
  }

  /** Sends every owner the list of all requests that run here. */
  async register(): Promise<void> {
    const pools = Object.keys(this.parts.configuration.manifest?.pools ?? {});
    const running = this.parts.listRunning();
    const requests = pools.map((pool): RegisterRequest => ({
      entryId: this.parts.id,
      pool,
      running: running.filter((item) => item.pool === pool).map((item) => item.running),
      viewNumber: this.parts.configuration.viewNumber,
    }));
    await Promise.allSettled(requests
      .filter((request) => this.needsRegistration(request))
      .map((request) => this.registerPool(request)));
  }

  /** Handles the list of requests that another entry runs. */
  handleRegister(request: RegisterRequest): void {
    this.findOrTakeOver(request.pool)?.register(request);
  }

  /** Handles a report of another entry. */
  handleReport(report: ReportRequest): void {
    this.findOrTakeOver(report.pool)?.report(report);
  }

  /** Forwards an announcement of a backend server to the pool's owner. */
  announce(announcement: Announcement): Promise<void> {
    return this.forwarder.announce(announcement);
  }

  /** Handles an announcement that another entry forwarded. */
  handleForwardedAnnouncement(announcement: Announcement): Promise<void> {
    return this.forwarder.handleForwarded(announcement);
  }

  /** Runs the time-driven systems of all owned pools. */
  tick(): void {
    this.owners.forEach((owner) => owner.handleEvent({ kind: 'tick' }));
  }

  /** An empty list is sent once per view, as a new owner always has a new view. */
  private needsRegistration({ pool, running, viewNumber }: RegisterRequest): boolean {
    return running.length > 0 || this.registeredEmpty.get(pool) !== viewNumber;
  }

  private findOwnerMember(pool: string): Member | undefined {
    const { configuration, id } = this.parts;
    const self = configuration.members.find((member) => member.id === id);
    // With the baseline policies each entry schedules on its own.
    if (this.policy.name !== 'owner') return self;
    return findOwner(configuration.members, pool);
  }

  private findOrTakeOver(pool: string): PoolOwner | undefined {
    const known = this.owners.get(pool);
    if (known || this.findOwnerMember(pool)?.id !== this.parts.id) return known;
    return this.takeOver(pool);
  }

  /*
   * Prevents tier inversion at a hand-over: until every entry has registered what it runs, and the
   * grants of the previous owner can no longer start, this owner refuses only the lowest tier.
   */
  private takeOver(pool: string): PoolOwner | undefined {
    const { configuration, clock } = this.parts;
    const { manifest, members } = configuration;
    if (!manifest?.pools[pool]) return undefined;
    const entryIds = members.map(({ id }) => id);
    const settledAt = clock.now() + HANDOVER_MS;
    const tables = makeScheduleTables(pool, manifest, entryIds, settledAt, this.policy);
    const owner = new PoolOwner(tables, clock, (order) => this.sendOrder(pool, order));
    this.owners.set(pool, owner);
    this.forwarder.listRecent()
      .filter((announcement) => announcement.pool === pool)
      .forEach((announcement) => owner.handleEvent({ kind: 'announce', announcement }));
    return owner;
  }

  /*
   * Prevents orders from a former owner: the lease and the ownership are checked right before the
   * order is sent, and the view number is sent as the fencing number. Each view determines one
   * owner of a pool, and a new owner always has a higher view number.
   */
  private sendOrder(pool: string, order: OrderEffect): void {
    const { configuration, id, orders } = this.parts;
    if (!configuration.isServing || this.findOwnerMember(pool)?.id !== id) return;
    orders.send(order.workerAddress, order.desired, configuration.viewNumber)
      .then((result) => {
        this.owners.get(pool)?.handleEvent({ kind: 'orderAnswered', result });
      })
      .catch(() => undefined);
  }

  private async askOwner(
    ask: AskRequest,
    operation: Operation,
    headers: Readonly<Record<string, string>>,
  ): Promise<AskReply | undefined> {
    const member = this.findOwnerMember(ask.pool);
    if (!member) return undefined;
    if (member.id === this.parts.id) return this.askLocalOwner(ask, operation);
    try {
      return await this.parts.peers.find(member.peerAddress).call<AskRequest, AskReply>(
        (stub) => stub.ask.bind(stub),
        ask,
        operation,
        headers,
      );
    } catch {
      return undefined;
    }
  }

  private askLocalOwner(ask: AskRequest, operation: Operation): Promise<AskReply> {
    return new Promise((resolve) => {
      const drop = () => {
        this.owners.get(ask.pool)?.drop(ask);
        resolve(this.makeNotOwnerReply(ask.pool));
      };
      operation.signal.addEventListener('abort', drop, { once: true });
      this.handleAsk(ask, () => undefined)
        .then((reply) => {
          operation.signal.removeEventListener('abort', drop);
          resolve(reply);
        })
        .catch(() => resolve(this.makeNotOwnerReply(ask.pool)));
    });
  }

  private makeNotOwnerReply(pool: string): AskReply {
    return makeOwnerMovedReply(`entry VM "${this.parts.id}" does not own pool "${pool}"`);
  }

  private async registerPool(request: RegisterRequest): Promise<void> {
    const owner = this.findOwnerMember(request.pool);
    if (!owner) return;
    if (owner.id === this.parts.id) {
      this.handleRegister(request);
      return;
    }
    await this.parts.peers.find(owner.peerAddress).call<RegisterRequest, object>(
      (stub) => stub.register.bind(stub),
      request,
      new Operation({ timeoutMs: PEER_TIMEOUT_MS }),
    );
    this.updateRegisteredEmpty(request);
  }

  private updateRegisteredEmpty({ pool, running, viewNumber }: RegisterRequest): void {
    if (running.length === 0) this.registeredEmpty.set(pool, viewNumber);
    else this.registeredEmpty.delete(pool);
  }

  private updateOwners(): void {
    const { manifest } = this.parts.configuration;
    if (!manifest) return;
    [...this.owners]
      .filter(([pool]) => !manifest.pools[pool])
      .forEach(([pool]) => this.closeOwner(pool));
    this.owners.forEach((owner) => owner.handleEvent({ kind: 'configure', config: manifest }));
  }

  private handleView(members: readonly Member[]): void {
    const entryIds = members.map(({ id }) => id);
    [...this.owners.keys()]
      .filter((pool) => this.findOwnerMember(pool)?.id !== this.parts.id)
      .forEach((pool) => this.closeOwner(pool));
    this.owners.forEach((owner) => owner.handleEvent({ kind: 'membersChanged', entryIds }));
    this.parts.peers.closeExcept(members.map(({ peerAddress }) => peerAddress));
    this.register().catch(() => undefined);
    // A new owner receives the backend servers now instead of at their next announcement.
    this.forwarder.announceAgain();
  }

  private closeOwner(pool: string): void {
    this.owners.get(pool)?.close();
    this.owners.delete(pool);
  }
}
