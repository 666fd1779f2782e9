import type { WorkerEntity, WorkerIndex } from './scheduleTypes';

const PROBE_SLOTS = 1;

/** Creates an empty index. */
export const makeWorkerIndex = (): WorkerIndex => ({
  free: new Map(), positions: new Map(), slots: 0, used: 0, slotCounts: new Map(),
});

/**
 * Computes how many requests of this system a worker may run: its slots minus external requests, or
 * a single probe while it is slow or was recently unreachable.
 *
 * @example
 * const free = computeUsableSlots(worker) - worker.running.size;
 */
export const computeUsableSlots = (worker: WorkerEntity): number => {
  if (worker.leaving || worker.reach === 'suspended' || worker.orderPhase !== 'serving') return 0;
  const own = Math.max(0, worker.slots - worker.externalRequests);
  const isProbed = worker.loadLevel === 'eased' || worker.reach === 'probed';
  return isProbed ? Math.min(PROBE_SLOTS, own) : own;
};

const formatBucket = (worker: WorkerEntity): string => (
  `${worker.hardware}\n${worker.running.size}\n${worker.loadLevel}\n${worker.zone}`
);

const removeFromBuckets = (index: WorkerIndex, id: string): void => {
  const position = index.positions.get(id);
  if (!position) return;
  index.positions.delete(id);
  position.targets.forEach((target) => {
    const buckets = index.free.get(target);
    const ids = buckets?.get(position.bucket);
    ids?.delete(id);
    if (ids?.size === 0) buckets?.delete(position.bucket);
  });
};

const addToBuckets = (index: WorkerIndex, worker: WorkerEntity): void => {
  const bucket = formatBucket(worker);
  index.positions.set(worker.id, { targets: worker.targets, bucket });
  worker.targets.forEach((target) => {
    const buckets = index.free.get(target) ?? new Map<string, Set<string>>();
    index.free.set(target, buckets);
    const ids = buckets.get(bucket) ?? new Set<string>();
    buckets.set(bucket, ids);
    ids.add(worker.id);
  });
};

const updateSlotCounts = (index: WorkerIndex, id: string, slots: number, used: number): void => {
  const old = index.slotCounts.get(id) ?? { slots: 0, used: 0 };
  index.slots += slots - old.slots;
  index.used += used - old.used;
  index.slotCounts.set(id, { slots, used });
};

/**
 * Updates the bucket and the slot counts of a worker. Must be called after every change of a
 * worker.
 *
 * @example
 * worker.running.add(requestId);
 * updateIndex(index, worker);
 */
export const updateIndex = (index: WorkerIndex, worker: WorkerEntity): void => {
  removeFromBuckets(index, worker.id);
  const usable = computeUsableSlots(worker);
  updateSlotCounts(index, worker.id, usable, worker.running.size);
  if (worker.running.size < usable) addToBuckets(index, worker);
};

/** Removes a worker from the index. */
export const removeFromIndex = (index: WorkerIndex, id: string): void => {
  removeFromBuckets(index, id);
  updateSlotCounts(index, id, 0, 0);
  index.slotCounts.delete(id);
};

/** Lists one worker of each bucket that serves a target. */
export const listCandidates = (index: WorkerIndex, target: string): string[] => (
  [...(index.free.get(target)?.values() ?? [])]
    .flatMap((ids) => ids.values().next().value ?? [])
);

/** Whether a worker has a free slot. */
export const hasFreeSlot = (index: WorkerIndex, id: string): boolean => index.positions.has(id);
