import type { ScheduleTables, WorkerEntity } from '../../core/schedule/scheduleTypes';

/**
 * Formats a worker for the status page.
 *
 * @example
 * [...tables.workers.values()].map((worker) => formatWorkerStatus(tables, worker));
 */
export const formatWorkerStatus = (tables: ScheduleTables, worker: WorkerEntity): object => ({
  id: worker.id,
  slots: worker.slots,
  running: worker.running.size,
  leaving: worker.leaving,
  pace: worker.loadLevel,
  reach: worker.reach,
  turn: worker.orderPhase,
  isAsWanted: worker.reportedDigest === tables.orders.desired?.digest,
});
