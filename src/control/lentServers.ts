import type { DelegateReport, WorkerLoad } from '../protocol/generated/beechlift';
import type { RoutedWorker, RoutedWorkers } from '../core/routing/routedWorkers';
import { isReady } from '../core/routing/routedWorkers';
import { LEADER, planLoans } from '../core/routing/serverLoans';

/** Shortest time between two divisions of the servers, in milliseconds. */
const PLAN_INTERVAL_MS = 500;
/** Time without a report after which the servers of a delegate are the leader's again, in ms. */
const DELEGATE_TIMEOUT_MS = 4_000;
/** Time in which a new leader hears from all delegates before it divides servers, in ms. */
const SETTLE_MS = 1_500;
/**
 * Weights of one report in the smoothed demand of a delegate. A rise counts at once: a replica that
 * has just started, or gets the entries of another one, refuses requests until it has servers.
 */
const RISE_WEIGHT = 0.5;
const FALL_WEIGHT = 0.1;
/** Most replicas that grant slots. */
const MAX_DELEGATES = 64;

/** A replica that grants slots, as it reported itself. */
interface Delegate {
  seenAt: number;
  /** Smoothed demand by service, in slots. */
  readonly demands: Map<string, number>;
  loads: readonly WorkerLoad[];
}

/** Assumed demand of a delegate without requests, in slots: far less than that of a busy one. */
const LEAST_DEMAND = 1;

const keepNumber = (value: number): number => (Number.isFinite(value) && value > 0 ? value : 0);

/** Servers that named a rate limit stay with the leader: nobody else counts against it. */
const isLendable = ({ rateLimit: { allowance } }: RoutedWorker): boolean => (
  allowance.perSecond === Infinity);

/**
 * The servers whose slots other replicas grant. A leader that decides on each request itself is
 * full once requests come faster than it handles messages, while the replicas that pass these
 * messages on have time to spare.
 *
 * A loan needs no lease: a server that two replicas grant for a moment queues the surplus.
 *
 * @example
 * lent.report(request.delegate, clock.now());
 * if (lent.plan(workers, clock.now())) service.markLent((id) => lent.isLent(id));
 */
export class LentServers {
  private readonly delegates = new Map<string, Delegate>();

  /** Replica that grants the slots of each server; the leader does for those that are missing. */
  private readonly owners = new Map<string, string>();

  private plannedAt = -Infinity;

  /** @param startedAt when this replica began to lead, monotonic milliseconds */
  constructor(private readonly startedAt: number) {}

  /** Number of replicas that grant slots of at least one server. */
  get granterCount(): number {
    return new Set(this.owners.values()).size;
  }

  /** Records the report of a delegate; a new leader learns from the first one what it grants. */
  report({
    replicaId, workerIds, demands, loads,
  }: DelegateReport, now: number): void {
    const known = this.delegates.get(replicaId);
    if (!known && (replicaId === LEADER || this.delegates.size >= MAX_DELEGATES)) return;
    const delegate = known ?? { seenAt: now, demands: new Map<string, number>(), loads };
    delegate.seenAt = now;
    delegate.loads = loads;
    demands.forEach(({ service, slots }) => {
      const demand = keepNumber(slots);
      const before = delegate.demands.get(service) ?? demand;
      const weight = demand > before ? RISE_WEIGHT : FALL_WEIGHT;
      delegate.demands.set(service, before + weight * (demand - before));
    });
    this.delegates.set(replicaId, delegate);
    if (known) return;
    workerIds.filter((id) => !this.owners.has(id)).forEach((id) => this.owners.set(id, replicaId));
  }

  /** Lists the servers whose slots a delegate grants. */
  list(replicaId: string): string[] {
    return [...this.owners].filter(([, owner]) => owner === replicaId).map(([id]) => id);
  }

  /** Whether another replica grants the slots of a server. */
  isLent(workerId: string): boolean {
    return this.owners.has(workerId);
  }

  /** Adds the requests that delegates placed to the loads that are told to entries. */
  addPlaced(loads: WorkerLoad[]): WorkerLoad[] {
    const byId = new Map(loads.map((load) => [load.workerId, load]));
    this.listLoads().forEach((load) => {
      const total = byId.get(load.workerId);
      if (!total) {
        const added = { ...load };
        byId.set(load.workerId, added);
        loads.push(added);
        return;
      }
      total.placed += load.placed;
      total.placedTokens += load.placedTokens;
    });
    return loads;
  }

  /** Adds the requests that delegates placed to the loads that the leader decides by. */
  addOpen(loads: readonly WorkerLoad[]): WorkerLoad[] {
    return this.addPlaced(loads.map((load) => ({ ...load })))
      .map((load) => ({
        ...load, inFlight: load.inFlight + load.placed, tokens: load.tokens + load.placedTokens,
      }));
  }

  /**
   * Divides the servers anew by demand, if it is time to; returns whether it did. Requests at the
   * leader count for nothing, as it uses lent servers too: most of them are those that delegates
   * passed on while they had no servers.
   *
   * @param isEven whether servers are lent in even parts before there is any demand
   */
  plan(
    { byService }: Pick<RoutedWorkers, 'byService'>,
    now: number,
    isEven = false,
  ): boolean {
    const sinceMs = now - this.plannedAt;
    if (sinceMs < PLAN_INTERVAL_MS) return false;
    this.plannedAt = now;
    // A leader that had no lease meanwhile took no reports.
    if (sinceMs < 2 * PLAN_INTERVAL_MS) this.expire(now);
    if (this.delegates.size === 0 || now - this.startedAt < SETTLE_MS) return true;
    byService.forEach((members, service) => (
      this.splitServers(service, members, isEven ? LEAST_DEMAND : 0)));
    return true;
  }

  private splitServers(
    service: string,
    members: readonly RoutedWorker[],
    leastDemand: number,
  ): void {
    const servers = members.filter(isReady).map(({ id, slots }) => ({ id, slots }));
    const demands = this.listDemands(service, leastDemand);
    const owners = members.every(isLendable)
      ? planLoans({ servers, demands, owners: this.owners })
      : new Map<string, string>();
    members.forEach(({ id }) => {
      const owner = owners.get(id) ?? LEADER;
      if (owner === LEADER) this.owners.delete(id);
      else this.owners.set(id, owner);
    });
  }

  private listDemands(service: string, leastDemand: number): Map<string, number> {
    const demands = [...this.delegates].map(([id, delegate]) => (
      [id, Math.max(leastDemand, delegate.demands.get(service) ?? 0)] as const));
    return new Map([[LEADER, 0], ...demands]);
  }

  private listLoads(): readonly WorkerLoad[] {
    return [...this.delegates.values()].flatMap(({ loads }) => loads);
  }

  private expire(now: number): void {
    this.delegates.forEach(({ seenAt }, id) => {
      if (now - seenAt > DELEGATE_TIMEOUT_MS) this.delegates.delete(id);
    });
    this.owners.forEach((owner, id) => {
      if (!this.delegates.has(owner)) this.owners.delete(id);
    });
  }
}
