/** Estimates whether a model's answer ends in time at a backend server. */
import { estimateAt, hasEnoughSamples } from './linearFit';
import { findServiceStats, hasFreeSlot, isReady } from './routedWorkers';
import type { RoutedWorker, RoutedWorkers } from './routedWorkers';
import { estimateSlowness, findFastestPace } from './workerSlowness';

/** What determines the length of an answer. */
export interface AnswerSize {
  readonly service: string;
  readonly promptTokens: number;
  /** Most tokens that the answer may have. */
  readonly outputTokens: number;
  /** Expected time until it starts, with what the server does before; 0 if it is not known. */
  readonly startMs: number;
}

/** Share of the remaining time that an estimated answer may use, because speeds vary. */
const USABLE_TIME_SHARE = 0.8;

/** Share of requests that wait for slots above which all slots count as taken. */
const FULL_QUEUED_SHARE = 0.5;

const estimateAnswerMs = (
  workers: RoutedWorkers,
  {
    service, promptTokens, outputTokens, startMs,
  }: AnswerSize,
  slowness: number,
): number => {
  const { firstEvent, output } = findServiceStats(workers, service);
  if (!hasEnoughSamples(firstEvent) || !hasEnoughSamples(output)) return Infinity;
  const firstEventMs = Math.max(startMs, slowness * estimateAt(firstEvent, promptTokens));
  return firstEventMs + slowness * estimateAt(output, outputTokens);
};

/**
 * Whether an answer of the maximum length ends within a time, at the given backend server or
 * otherwise at the fastest one; false while there are too few samples.
 *
 * @example
 * const size = { service: 'scribe', promptTokens: 900, outputTokens: 400, startMs: 0 };
 * canFinishWithin(workers, size, 3_000, worker);
 */
export const canFinishWithin = (
  workers: RoutedWorkers,
  size: AnswerSize,
  remainingMs: number,
  worker?: RoutedWorker,
): boolean => {
  const fastestMs = findFastestPace(workers, size.service);
  const slowness = worker ? Math.max(1, estimateSlowness(workers, worker, fastestMs)) : 1;
  return estimateAnswerMs(workers, size, slowness) <= USABLE_TIME_SHARE * remainingMs;
};

/**
 * Whether the load on the servers of a service may still grow, which slows down the answers that
 * run: slots are free, and requests do not wait for them.
 *
 * @param worker the chosen server; if it is missing, any server of the service may be chosen
 * @example
 * mayLoadGrow(workers, 'scribe'); // false once all slots are taken
 */
export const mayLoadGrow = (
  workers: RoutedWorkers,
  service: string,
  worker?: RoutedWorker,
): boolean => {
  if (findServiceStats(workers, service).queuedShare >= FULL_QUEUED_SHARE) return false;
  const servers = worker ? [worker] : (workers.byService.get(service) ?? []).filter(isReady);
  return servers.some(hasFreeSlot);
};

/** How many times longer than recent answers one may take if the load grows. */
const LOAD_MARGIN = 2;

/** The same for an answer at a server that has free slots now, which all may be taken. */
const FREE_SLOTS_MARGIN = 3;

/**
 * Shortens a time such that an answer which is estimated to end within it still ends within the
 * whole time if the load grows.
 *
 * @param certainty from 0, if it suffices that the answer is likely to end in time, to 1
 * @example
 * canFinishWithin(workers, size, shortenForLoad(3_000, 1)); // at most 1_500
 */
export const shortenForLoad = (ms: number, certainty: number): number => (
  ms / (1 + certainty * (LOAD_MARGIN - 1)));

/**
 * Shortens a time such that an answer which is estimated to end within it still ends within the
 * whole time if the free slots of its server are taken.
 *
 * @example
 * canFinishWithin(workers, size, shortenForFreeSlots(3_000)); // at most 1_000
 */
export const shortenForFreeSlots = (ms: number): number => ms / FREE_SLOTS_MARGIN;
