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
import type { RecordMemo } from './recordMemo';

/** What the registry needs. */
export interface WorkerRegistryParts {
  /** Backend servers that were known before a restart. */
  readonly remembered: readonly WorkerRecord[];
  readonly memo: Pick<RecordMemo<WorkerRecord>, 'note'>;
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
    this.adopt(parts.remembered);
  }

  /** Takes in what a backend server said of itself. */
  take(said: WorkerAnnouncement): void {
    const { revision } = this.table;
    applyAnnouncement(this.table, said, this.parts.clock.now());
    if (this.table.revision === revision) return;
    this.tellSoon();
    this.parts.logger.info('backend server changed', {
      worker: said.workerId,
      service: said.service,
      address: said.address,
      state: said.state,
      sequence: said.sequence,
      born: said.born,
    });
  }

  /** Sets silent servers aside. */
  expire(): void {
    const { revision } = this.table;
    expireWorkers(this.table, this.parts.clock.now());
    if (this.table.revision !== revision) this.tellSoon();
  }

  /** Writes what changed to the disk, now and then. */
  save(): void {
    const { memo, clock } = this.parts;
    memo.note(`${this.table.epoch}/${this.table.revision}`, clock.now(), () => listChangedWorkers(this.table, '', 0));
  }

  /** Takes over what the leader told a replica that follows. */
  follow({ workers, workersEpoch, workersRevision }: WatchReply): void {
    if (this.table.epoch !== workersEpoch) this.table = makeWorkerTable(workersEpoch);
    this.adopt(workers);
    this.table.revision = workersRevision;
  }

  /** Begins a table of its own with what is known, for a replica that has begun to lead. */
  lead(): void {
    const records = listChangedWorkers(this.table, '', 0);
    this.table = makeWorkerTable(randomUUID());
    this.adopt(records);
  }

  /** Takes in what another replica remembered over a restart and this one did not. */
  recover(records: readonly WorkerRecord[]): void {
    const missing = records.filter((record) => needsRecord(this.table, record));
    if (missing.length === 0) return;
    this.adopt(missing);
    this.tellSoon();
    this.parts.logger.info('backend servers recalled', { count: missing.length });
  }

  /** Whether an asker lacks something. */
  hasNews({ workersEpoch, workersRevision }: WatchRequest): boolean {
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

  private tellSoon(): void {
    const { watches, countEntries } = this.parts;
    watches.releaseWithin(computeUpdateDelayMs(countEntries()));
  }

  private adopt(records: readonly WorkerRecord[]): void {
    const now = this.parts.clock.now();
    records.forEach((record) => adoptRecord(this.table, record, now));
  }
}
