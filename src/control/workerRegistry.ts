import { randomUUID } from 'node:crypto';
import type {
  WatchReply, WatchRequest, WorkerAnnouncement, WorkerRecord,
} from '../protocol/generated/beechlift';
import { computeUpdateDelayMs } from '../core/routing/messageIntervals';
import { adoptRecord, listChangedWorkers, needsRecord } from '../core/routing/workerRecords';
import { expireWorkers, makeWorkerTable, applyAnnouncement } from '../core/routing/workerTable';
import type { WorkerTable } from '../core/routing/workerTable';
import type { Logger } from '../telemetry/logger';
import type { Clock } from '../utils/clock';
import type { HeldCalls } from '../utils/heldCalls';
import type { RecordCache } from './recordCache';

/** Dependencies of the registry. */
export interface WorkerRegistryParts {
  /** Backend servers that were cached before a restart. */
  readonly cachedWorkers: readonly WorkerRecord[];
  readonly workerCache: Pick<RecordCache<WorkerRecord>, 'saveIfChanged'>;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Watch requests that are held until there is an update. */
  readonly watches: HeldCalls;
  /** Counts the entries that send watch requests. */
  readonly countEntries: () => number;
}

/**
 * The backend servers of a site. The leader receives their announcements, followers copy its table,
 * and all replicas cache the table across restarts.
 *
 * @example
 * registry.applyAnnouncement(announcement); // held watch requests are answered with the change
 */
export class WorkerRegistry {
  table: WorkerTable = makeWorkerTable(randomUUID());

  constructor(private readonly parts: WorkerRegistryParts) {
    this.addRecords(parts.cachedWorkers);
  }

  /** Applies an announcement of a backend server. */
  applyAnnouncement(announcement: WorkerAnnouncement): void {
    const { revision } = this.table;
    applyAnnouncement(this.table, announcement, this.parts.clock.now());
    if (this.table.revision === revision) return;
    this.scheduleUpdates();
    this.parts.logger.info('backend server changed', {
      worker: announcement.workerId,
      service: announcement.service,
      address: announcement.address,
      software: announcement.software,
      state: announcement.state,
      sequence: announcement.sequence,
      born: announcement.born,
      table: `${this.table.epoch.slice(0, 8)}/${this.table.revision}`,
    });
  }

  /** Sets the standing of servers that stopped announcing themselves to `silent`. */
  expire(): void {
    const { revision } = this.table;
    expireWorkers(this.table, this.parts.clock.now());
    if (this.table.revision !== revision) this.scheduleUpdates();
  }

  /** Writes changed servers to disk; writes are rate-limited. */
  save(): void {
    const { workerCache, clock } = this.parts;
    workerCache.saveIfChanged(`${this.table.epoch}/${this.table.revision}`, clock.now(), () => listChangedWorkers(this.table, '', 0));
  }

  /** Applies the servers in a watch reply of the leader on a follower. */
  applyReply({ workers, workersEpoch, workersRevision }: WatchReply): void {
    if (this.table.epoch !== workersEpoch) this.table = makeWorkerTable(workersEpoch);
    this.addRecords(workers);
    this.table.revision = workersRevision;
  }

  /** Starts a table of its own with the known servers, on a replica that has become the leader. */
  startLeading(): void {
    const records = listChangedWorkers(this.table, '', 0);
    this.table = makeWorkerTable(randomUUID());
    this.addRecords(records);
  }

  /** Adds servers that another replica cached across a restart and that are missing here. */
  recover(records: readonly WorkerRecord[]): void {
    const missing = records.filter((record) => needsRecord(this.table, record));
    if (missing.length === 0) return;
    this.addRecords(missing);
    this.scheduleUpdates();
    this.parts.logger.info('backend servers recovered', { count: missing.length });
  }

  /** Whether a client has an old version of the table. */
  hasUpdates({ workersEpoch, workersRevision }: WatchRequest): boolean {
    return workersEpoch !== this.table.epoch || workersRevision !== this.table.revision;
  }

  /** Builds the part of a watch reply with the servers that changed since the client's version. */
  buildPart(request: WatchRequest): Pick<WatchReply, 'workers' | 'workersEpoch' | 'workersRevision'> {
    const { epoch, revision } = this.table;
    return {
      workersEpoch: epoch,
      workersRevision: revision,
      workers: listChangedWorkers(this.table, request.workersEpoch, request.workersRevision),
    };
  }

  private scheduleUpdates(): void {
    const { watches, countEntries } = this.parts;
    watches.releaseWithin(computeUpdateDelayMs(countEntries()));
  }

  private addRecords(records: readonly WorkerRecord[]): void {
    const now = this.parts.clock.now();
    records.forEach((record) => adoptRecord(this.table, record, now));
  }
}
