import { setTimeout as pause } from 'node:timers/promises';
import { LRUCache } from 'lru-cache';
import { addDeparture, NO_DEPARTURES } from '../core/routing/departures';
import type { Departures } from '../core/routing/departures';
import { countByStanding } from '../core/routing/workerTable';
import type { TrackedWorker } from '../core/routing/workerTable';
import { toBeechliftError } from '../errors/beechliftError';
import type { WorkerAnnouncement, WorkerRecord } from '../protocol/generated/beechlift';
import type { Logger } from '../telemetry/logger';
import type { Clock } from '../utils/clock';
import { Operation } from '../utils/operation';
import { encodeDeparture } from './documentCommand';
import type { LogRunner } from './logRunner';
import type { WorkerRegistry } from './workerRegistry';

/**
 * How long an announcement waits for a majority, in milliseconds. Servers and forwarding replicas
 * give an announcement up after 700 ms or more, and repeat it.
 */
const WAIT_MS = 550;
/** Time limit for the agreement; a repeated announcement finds it done. */
const PROPOSAL_TIMEOUT_MS = 3_000;
/** Most departures that wait for a majority at a time. */
const MAX_OPEN_PROPOSALS = 512;
/** Most departures whose agreement is remembered, open ones included. */
const MAX_PROPOSALS = 2_000;

/** The part of an announcement that tells whether its server leaves. */
type AppliedAnnouncement = Pick<WorkerAnnouncement, 'workerId' | 'born' | 'state'>;

/** Characters of a table's epoch that log lines name. */
const TABLE_NAME_LENGTH = 8;

/** The agreement on one departure. */
interface Proposal {
  /** Identifies the change of the leader's table that it is about. */
  readonly change: string;
  readonly isAgreed: Promise<boolean>;
}

/** Dependencies of the departure log. */
export interface DepartureLogParts {
  readonly runner: Pick<LogRunner<true>, 'propose' | 'state'>;
  readonly registry: Pick<WorkerRegistry, 'table' | 'recover'>;
  readonly clock: Clock;
  readonly logger: Logger;
}

/**
 * Lets the replicas agree that a server leaves before its announcement is acknowledged. Followers
 * copy the table of servers late, so that a new leader would send requests to the server again.
 *
 * @example
 * const taken = await departureLog.ensureAgreed(announcement);
 */
export class DepartureLog {
  private departures = NO_DEPARTURES;

  private readonly proposals = new LRUCache<string, Proposal>({ max: MAX_PROPOSALS });

  private openCount = 0;

  constructor(private readonly parts: DepartureLogParts) {}

  /** The departures that the replicas agreed on. */
  get agreed(): Departures {
    return this.departures;
  }

  /**
   * Resolves with whether a server's standing, if it leaves, is known to a majority.
   *
   * Its word that it leaves may have been ignored, because it is late or from an incarnation that
   * is not proven. Then it must not be acknowledged, as the server is still listed. An incarnation
   * that another has replaced gets no requests.
   */
  async ensureAgreed({ workerId, born, state }: AppliedAnnouncement): Promise<boolean> {
    const { table } = this.parts.registry;
    const worker = table.workers.get(workerId);
    // Another server uses its address: nothing is stored that a later announcement could overtake.
    if (!worker) return state !== 'draining';
    if (worker.standing === 'ready' || worker.standing === 'silent') {
      return state === 'ready' || worker.superseded.includes(born);
    }
    const change = `${table.epoch}/${worker.revision}`;
    const known = this.proposals.get(workerId);
    const isProposed = known?.change === change;
    if (!isProposed && this.openCount >= MAX_OPEN_PROPOSALS) return false;
    const proposal = isProposed ? known : this.propose(worker, change);
    return Promise.race([proposal.isAgreed, pause(WAIT_MS, false, { ref: false })]);
  }

  /** Applies a departure that the replicas agreed on. */
  apply(record: WorkerRecord): void {
    this.departures = addDeparture(this.departures, record);
    if (this.parts.runner.state.role === 'leader') this.restore([record]);
  }

  /** Replaces all departures by those of a snapshot. */
  reset(departures: Departures): void {
    this.departures = departures;
  }

  /**
   * Corrects the table of a replica that has become the leader.
   *
   * Servers that the table lacks are added: entries may know them from an earlier leader, and what
   * the table of a new leader does not list remains as it is at an entry.
   */
  restoreKnown(): void {
    const { registry, logger } = this.parts;
    this.proposals.clear();
    this.restore([...this.departures.values()]);
    logger.info('servers known to the new leader', {
      ...Object.fromEntries(countByStanding(registry.table)),
      departures: this.departures.size,
      table: registry.table.epoch.slice(0, TABLE_NAME_LENGTH),
    });
  }

  /** Adds the departure of a server that the table lacks, before one of its announcements. */
  restoreMissing(workerId: string): void {
    const record = this.departures.get(workerId);
    if (record && !this.parts.registry.table.workers.has(workerId)) this.restore([record]);
  }

  private restore(records: readonly WorkerRecord[]): void {
    const { registry } = this.parts;
    registry.recover(records.map((record) => (
      this.isAddressReused(record) ? { ...record, standing: 'gone' } : record)));
  }

  private isAddressReused({ said }: WorkerRecord): boolean {
    const ownerId = this.parts.registry.table.ownerIds.get(said?.address ?? '');
    return ownerId !== undefined && ownerId !== said?.workerId;
  }

  private propose({ said, standing, superseded }: TrackedWorker, change: string): Proposal {
    const { runner, clock, logger } = this.parts;
    const command = encodeDeparture({ said, standing, supersededStarts: [...superseded] });
    const operation = new Operation({ timeoutMs: PROPOSAL_TIMEOUT_MS, clock });
    this.openCount += 1;
    const isAgreed = runner.propose(command, operation).then(() => true, (thrown: unknown) => {
      logger.warn('no majority knows that a backend server leaves', { worker: said.workerId, reason: toBeechliftError(thrown).message });
      this.proposals.delete(said.workerId);
      return false;
    }).finally(() => {
      this.openCount -= 1;
    });
    const proposal = { change, isAgreed };
    this.proposals.set(said.workerId, proposal);
    return proposal;
  }
}
