import type { Route, Routing } from '../../src/manifest/routing';
import { makeRoute } from './routings';

/** Routes of an entry that shuts down; they differ in kind and in the duration of answers. */
export type StoppingRoute = 'brief' | 'briefOnce' | 'long' | 'longOnce' | 'stream' | 'resumable';

const BRIEF_TIMEOUT_MS = 500;
const BRIEF_TARGET_MS = 100;
const LONG_TIMEOUT_MS = 20_000;
const LONG_TARGET_MS = 5_000;

const brief = { timeoutMs: BRIEF_TIMEOUT_MS, targetLatencyMs: BRIEF_TARGET_MS };
const long = { timeoutMs: LONG_TIMEOUT_MS, targetLatencyMs: LONG_TARGET_MS };

const changes: Record<StoppingRoute, Partial<Route>> = {
  brief: { ...brief, kind: 'idempotent' },
  briefOnce: { ...brief, kind: 'nonIdempotent' },
  long: { ...long, kind: 'idempotent' },
  longOnce: { ...long, kind: 'nonIdempotent' },
  stream: { ...long, kind: 'stream' },
  resumable: { ...long, kind: 'stream', isResumable: true },
};

/** Formats a path of a route. */
export const formatRoutePath = (route: StoppingRoute): string => `/${route}/7`;

/**
 * Makes the fields of a routing that has one route of each kind.
 *
 * @example
 * const site = await StoppingSite.start({ routing: makeStoppingRouting() });
 */
export const makeStoppingRouting = (more: Partial<Routing> = {}): Partial<Routing> => ({
  routes: Object.entries(changes).map(([name, change]) => makeRoute({
    name, pathPrefix: `/${name}/`, ...change,
  })),
  ...more,
});
