import type { LogMessage, Replica } from '../protocol/generated/beechlift';
import { isReadyToVote } from '../core/log/learnerReadiness';
import { listReplicas } from '../core/log/logState';
import { planReplicas } from '../core/log/replicaPlan';
import type { LogState, ReplicaSet } from '../core/log/logTypes';
import type { Logger } from '../telemetry/logger';
import type { Clock } from '../utils/clock';
import type { LogRunner } from './logRunner';
import { JoinRequests } from './joinRequests';

/** Kind of the message by which a replica asks the leader to take its vote before it stops. */
export const LEAVE_MESSAGE = 'leave';
/** Lifetime of such a request, in milliseconds; a replica that stops repeats it. */
const LEAVE_TTL_MS = 500;
/** Time without a message after which a joining replica may replace a replica, in milliseconds. */
const REPLICA_TIMEOUT_MS = 3_000;
/** Time without a message after which a replica is not recommended to servers, in milliseconds. */
const RESPONSIVE_MS = 500;

/**
 * Tracks the other replicas on the leader, and repairs the replica set one step at a time.
 *
 * @example
 * replicaSetManager.reconcile(runner, leadingSince);
 */
export class ReplicaSetManager {
  private readonly joinRequests = new JoinRequests();

  private readonly lastSeenAt = new Map<string, number>();

  /** When each replica last asked to be replaced. */
  private readonly leavingAt = new Map<string, number>();

  /** @param voterCount target number of voters of the site */
  constructor(
    private readonly voterCount: number,
    private readonly clock: Clock,
    private readonly logger: Logger,
  ) {}

  /** Records that a message of a replica arrived. */
  recordMessage({ from, kind }: Pick<LogMessage, 'from' | 'kind'>): void {
    this.lastSeenAt.set(from, this.clock.now());
    if (kind === LEAVE_MESSAGE) this.recordLeaving(from);
  }

  /** Records that a replica is about to stop and asks to be replaced. */
  recordLeaving(id: string): void {
    this.leavingAt.set(id, this.clock.now());
  }

  /** Records that a replica asked to join the site. */
  recordJoinRequest(replica: Replica): void {
    this.joinRequests.record(replica, this.clock.now());
  }

  /** Lists the addresses of the other voters that were heard of recently. */
  listResponsive({ id: ownId, replicas }: LogState): string[] {
    const now = this.clock.now();
    return replicas.voters
      .filter(({ id }) => id !== ownId
        && now - (this.lastSeenAt.get(id) ?? -Infinity) <= RESPONSIVE_MS)
      .map(({ address }) => address);
  }

  /** Starts the next change of the replica set, if one is due. */
  reconcile(runner: Pick<LogRunner<true>, 'state' | 'changeReplicas'>, leadingSince: number): void {
    const next = this.plan(runner.state, leadingSince);
    if (!next || !runner.changeReplicas(next)) return;
    this.logger.info('replica set change started', {
      voters: next.voters.map(({ id }) => id).join(' '),
      previousVoters: (next.previousVoters ?? []).map(({ id }) => id).join(' '),
      learners: next.learners.map(({ id }) => id).join(' '),
    });
  }

  private plan(state: LogState, leadingSince: number): ReplicaSet | undefined {
    const now = this.clock.now();
    return planReplicas({
      ownId: state.id,
      replicas: state.replicas,
      newcomers: this.joinRequests.list(now),
      unresponsive: new Set(this.listUnresponsive(state, leadingSince, now)),
      leaving: new Set(this.listLeaving(now)),
      caughtUp: new Set(state.replicas.learners.map(({ id }) => id)
        .filter((id) => isReadyToVote(state, id, now))),
      voterCount: this.voterCount,
    });
  }

  private listLeaving(now: number): string[] {
    this.leavingAt.forEach((askedAt, id) => {
      if (now - askedAt > LEAVE_TTL_MS) this.leavingAt.delete(id);
    });
    return [...this.leavingAt.keys()];
  }

  /*
   * The timeout of a joining replica counts from the moment at which this replica first saw it in
   * the set. Otherwise it would be removed before its first message and added again, repeatedly.
   */
  private listUnresponsive(
    { id: ownId, replicas }: LogState,
    leadingSince: number,
    now: number,
  ): string[] {
    const ids = listReplicas(replicas).map(({ id }) => id);
    ids.filter((id) => !this.lastSeenAt.has(id)).forEach((id) => this.lastSeenAt.set(id, now));
    return ids
      .filter((id) => id !== ownId)
      .filter((id) => {
        const lastSeenAt = Math.max(leadingSince, this.lastSeenAt.get(id) ?? now);
        return now - lastSeenAt > REPLICA_TIMEOUT_MS;
      });
  }
}
