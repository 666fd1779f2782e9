import type { WorkerEntity, WorkerIndex } from './scheduleTypes';

const PROBE_SLOTS = 1;

/** Makes an empty index. */
export const makeWorkerIndex = (): WorkerIndex => ({
  free: new Map(), places: new Map(), slots: 0, used: 0, counted: new Map(),
});

/**
 * Computes how many requests of ours a worker may run: its slots, less what others run there, and
 * only a probe while it is eased out or was not reached of late.
 *
 * @example
 * const free = readUsableSlots(worker) - worker.running.size;
 */
export const readUsableSlots = (worker: WorkerEntity): number => {
  if (worker.leaving || worker.reach === 'suspended' || worker.turn !== 'serving') return 0;
  const own = Math.max(0, worker.slots - worker.foreign);
  const isProbed = worker.pace === 'eased' || worker.reach === 'probed';
  return isProbed ? Math.min(PROBE_SLOTS, own) : own;
};

const formatBucket = (worker: WorkerEntity): string => (
  `${worker.hardware}\n${worker.running.size}\n${worker.pace}\n${worker.zone}`
);

const removePlace = (index: WorkerIndex, id: string): void => {
  const place = index.places.get(id);
  if (!place) return;
  index.places.delete(id);
  place.targets.forEach((target) => {
    const buckets = index.free.get(target);
    const ids = buckets?.get(place.bucket);
    ids?.delete(id);
    if (ids?.size === 0) buckets?.delete(place.bucket);
  });
};

const addPlace = (index: WorkerIndex, worker: WorkerEntity): void => {
  const bucket = formatBucket(worker);
  index.places.set(worker.id, { targets: worker.targets, bucket });
  worker.targets.forEach((target) => {
    const buckets = index.free.get(target) ?? new Map<string, Set<string>>();
    index.free.set(target, buckets);
    const ids = buckets.get(bucket) ?? new Set<string>();
    buckets.set(bucket, ids);
    ids.add(worker.id);
  });
};

const countSlots = (index: WorkerIndex, id: string, slots: number, used: number): void => {
  const old = index.counted.get(id) ?? { slots: 0, used: 0 };
  index.slots += slots - old.slots;
  index.used += used - old.used;
  index.counted.set(id, { slots, used });
};

/**
 * Puts a worker where it now belongs. Call it after every change of a worker.
 *
 * @example
 * worker.running.add(requestId);
 * updateIndex(index, worker);
 */
export const updateIndex = (index: WorkerIndex, worker: WorkerEntity): void => {
  removePlace(index, worker.id);
  const usable = readUsableSlots(worker);
  countSlots(index, worker.id, usable, worker.running.size);
  if (worker.running.size < usable) addPlace(index, worker);
};

/** Takes a worker out. */
export const removeFromIndex = (index: WorkerIndex, id: string): void => {
  removePlace(index, id);
  countSlots(index, id, 0, 0);
  index.counted.delete(id);
};

/** One worker of every bucket that serves a target. */
export const listCandidates = (index: WorkerIndex, target: string): string[] => (
  [...(index.free.get(target)?.values() ?? [])]
    .flatMap((ids) => ids.values().next().value ?? [])
);

/** Whether a worker has a free slot. */
export const hasFreeSlot = (index: WorkerIndex, id: string): boolean => index.places.has(id);
