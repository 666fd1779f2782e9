/** A small random sample of servers, for entries that choose by a view that many others share. */
import { hasFreeSlot } from './routedWorkers';
import type { RoutedWorker } from './routedWorkers';

/** How an entry samples the servers from which it chooses. */
export interface SampleOptions {
  /** Number of entries that may choose by the same view, this one included. */
  readonly entryCount: number;
  /** Draws a number of at least 0 and less than 1. */
  readonly drawRandom: () => number;
}

/** Smallest sample: with two, a server with a backlog is seldom chosen. */
const MIN_SAMPLE = 2;

/** Draws some servers, each of them once. */
const drawServers = (
  servers: readonly RoutedWorker[],
  count: number,
  drawRandom: () => number,
): readonly RoutedWorker[] => {
  const drawn = servers.map((server) => ({ server, order: drawRandom() }));
  return drawn.sort((a, b) => a.order - b.order).slice(0, count).map(({ server }) => server);
};

/**
 * Draws the servers from which an entry chooses: among those with a free slot, if there are any.
 * The more entries share the view, the fewer are drawn.
 *
 * Guards against all entries choosing the same server. Each knows the requests of the others only
 * as they were at the last reply of the leader, so the best server would stay the best for all.
 *
 * @example
 * const drawn = drawCandidates(candidates, { entryCount: 78, drawRandom: Math.random });
 */
export const drawCandidates = (
  candidates: readonly RoutedWorker[],
  { entryCount, drawRandom }: SampleOptions,
): readonly RoutedWorker[] => {
  if (entryCount <= 1) return candidates;
  const free = candidates.filter(hasFreeSlot);
  const pool = free.length > 0 ? free : candidates;
  const count = Math.max(MIN_SAMPLE, Math.floor(pool.length / entryCount));
  return drawServers(pool, count, drawRandom);
};
