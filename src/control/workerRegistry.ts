import { randomUUID } from 'node:crypto';
import type {
  WatchReply, WatchRequest, WorkerAnnouncement, WorkerRecord,
} from '../protocol/generated/beechlift';
import { computeUpdateDelayMs } from '../core/routing/messageIntervals';
import {
  adoptRecord, expireWorkers, listChangedWorkers, makeWorkerTable, needsRecord, applyAnnouncement,
} from '../core/routing/workerTable';
import type { WorkerTable } from '../core/routing/workerTable';
import type { Logger } from '../telemetry/logger';
import type { Clock } from '../utils/clock';
import type { HeldCalls } from '../utils/heldCalls';
import type { RecordCache } from './recordCache';

/** What the registry needs. */
export interface WorkerRegistryParts {
  /** Backend servers that were known before a restart. */
  readonly remembered: readonly WorkerRecord[];
  readonly memo: Pick<RecordCache<WorkerRecord>, 'note'>;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Questions that are held until there is news. */
  readonly watches: HeldCalls;
  /** Entries that ask. */
  readonly countEntries: () => number;
}

/**
 * The backend servers of a site, as one replica knows them: the leader hears them, the others
 * follow its table, and all remember it over a restart.
 *
 * @example
 * registry.take(announcement); // whoever asks for news hears of it
 */
export class WorkerRegistry {
  table: WorkerTable = makeWorkerTable(randomUUID());

  constructor(private readonly parts: WorkerRegistryParts) {
    this.addRecords(parts.remembered);
  }

  /** Takes in what a backend server said of itself. */
  take(announcement: WorkerAnnouncement): void {
    const { revision } = this.table;
    applyAnnouncement(this.table, announcement, this.parts.clock.now());
    if (this.table.revision === revision) return;
    this.scheduleUpdates();
    this.parts.logger.info('backend server changed', {
      worker: announcement.workerId,
      service: announcement.service,
      address: announcement.address,
      state: announcement.state,
      sequence: announcement.sequence,
      born: announcement.born,
    });
  }

  /** Sets silent servers aside. */
  expire(): void {
    const { revision } = this.table;
    expireWorkers(this.table, this.parts.clock.now());
    if (this.table.revision !== revision) this.scheduleUpdates();
  }

  /** Writes what changed to the disk, now and then. */
  save(): void {
    const { memo, clock } = this.parts;
    memo.note(`${this.table.epoch}/${this.table.revision}`, clock.now(), () => listChangedWorkers(this.table, '', 0));
  }

  /** Takes over what the leader told a replica that follows. */
  applyReply({ workers, workersEpoch, workersRevision }: WatchReply): void {
    if (this.table.epoch !== workersEpoch) this.table = makeWorkerTable(workersEpoch);
    this.addRecords(workers);
    this.table.revision = workersRevision;
  }

  /** Begins a table of its own with what is known, for a replica that has begun to lead. */
  startLeading(): void {
    const records = listChangedWorkers(this.table, '', 0);
    this.table = makeWorkerTable(randomUUID());
    this.addRecords(records);
  }

  /** Takes in what another replica remembered over a restart and this one did not. */
  recover(records: readonly WorkerRecord[]): void {
    const missing = records.filter((record) => needsRecord(this.table, record));
    if (missing.length === 0) return;
    this.addRecords(missing);
    this.scheduleUpdates();
    this.parts.logger.info('backend servers recalled', { count: missing.length });
  }

  /** Whether an asker lacks something. */
  hasUpdates({ workersEpoch, workersRevision }: WatchRequest): boolean {
    return workersEpoch !== this.table.epoch || workersRevision !== this.table.revision;
  }

  /** What an asker lacks. */
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
