/** How long the whole answer to a request of a model may take at a backend server. */
import { hasEnoughSamples, estimateAt } from './linearFit';
import { findServiceStats } from './routedWorkers';
import type { RoutedWorker, RoutedWorkers } from './routedWorkers';
import { estimateSlowness, findFastestPace } from './workerSlowness';

/** What an answer's length follows from. */
export interface AnswerSize {
  readonly service: string;
  readonly promptTokens: number;
  /** Most tokens that the answer may have. */
  readonly outputTokens: number;
}

/** Part of the time left that an answer may be estimated to need, as speeds vary. */
const USABLE_TIME_SHARE = 0.8;

const estimateFastestMs = (
  workers: RoutedWorkers,
  { service, promptTokens, outputTokens }: AnswerSize,
): number => {
  const { firstEvent, output } = findServiceStats(workers, service);
  if (!hasEnoughSamples(firstEvent) || !hasEnoughSamples(output)) return Infinity;
  return estimateAt(firstEvent, promptTokens) + estimateAt(output, outputTokens);
};

/**
 * Tells whether an answer of the greatest length that it may have ends within a time, at a
 * backend server or, where none is named, at the fastest one; no, while too little is known.
 *
 * @example
 * const size = { service: 'scribe', promptTokens: 900, outputTokens: 400 };
 * canEndWithin(workers, size, 3_000, worker);
 */
export const canFinishWithin = (
  workers: RoutedWorkers,
  size: AnswerSize,
  leftMs: number,
  worker?: RoutedWorker,
): boolean => {
  const fastestMs = findFastestPace(workers, size.service);
  const slowness = worker ? Math.max(1, estimateSlowness(workers, worker, fastestMs)) : 1;
  return slowness * estimateFastestMs(workers, size) <= USABLE_TIME_SHARE * leftMs;
};
