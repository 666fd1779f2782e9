import { setTimeout as pause } from 'node:timers/promises';
import {
  afterEach, describe, expect, it,
} from 'vitest';
import { LimitingServer } from '../fakes/limitingServer';
import { RoutedSite } from '../fakes/routedSite';
import type { SiteAnswer } from '../fakes/routedSite';
import { makeRoute } from '../fakes/routings';

const ENTRIES = 3;
const GAP_MS = 20;
const LIMIT = 2;
const WINDOW_MS = 4_000;
/** Most requests that may reach a server within a window under its limit. */
const MOST_IN_WINDOW = 1.5 * LIMIT * (WINDOW_MS / 1_000) + 5;
/** Time after the first answer with a limit in which requests may still arrive, in milliseconds. */
const ON_ITS_WAY_MS = 500;
/** Long enough for a slot to become free even while this process is busy. */
const TARGET_MS = 2_000;

describe('servers of a site that name a rate limit', () => {
  let site: RoutedSite | undefined;

  const start = async (
    isEngine: boolean,
    servers: readonly LimitingServer[],
  ): Promise<RoutedSite> => {
    site = await RoutedSite.start({
      services: [{ name: 'rooms', maxConnections: 100, isEngine }],
      routes: [makeRoute({ targetLatencyMs: TARGET_MS })],
    }, ENTRIES);
    await site.addScripted(...servers.map(({ script }) => script));
    return site;
  };

  const sendFor = (started: RoutedSite, ms: number): Promise<SiteAnswer[]> => (
    Promise.all(Array.from({ length: ms / GAP_MS }, async (unused, position) => {
      await pause(position * GAP_MS);
      return started.send(position, 'tea');
    })));

  /** Lets all entries hear the limit, then returns the time from which it counts. */
  const nameLimit = async (
    started: RoutedSite,
    limiting: readonly LimitingServer[],
    limit: string,
  ): Promise<number> => {
    limiting.forEach((server) => Object.assign(server, { limit }));
    await sendFor(started, 600);
    return performance.now() + ON_ITS_WAY_MS;
  };

  afterEach(async () => {
    await site?.close();
    site = undefined;
  });

  // Two servers had named a limit of 1.4 and 1.7 requests a second and got 21 in 4 s each, placed
  // by the leader, although the others of their service named none.
  it('should get no more than it from all entries while the leader places requests', async () => {
    const servers = [0, 1, 2].map(() => new LimitingServer());
    const [limiting] = servers as [LimitingServer];
    const started = await start(true, servers);
    const from = await nameLimit(started, [limiting], String(LIMIT));
    const answers = await sendFor(started, WINDOW_MS + 1_000);
    expect(limiting.countMostWithin(WINDOW_MS, from)).toBeLessThanOrEqual(MOST_IN_WINDOW);
    expect(limiting.countMostWithin(WINDOW_MS, from)).toBeGreaterThan(0);
    expect(answers.filter(({ status }) => status !== 200)).toEqual([]);
  });

  // The same where the entries choose servers themselves.
  it('should get no more than it from all entries that choose by themselves', async () => {
    const servers = [0, 1, 2].map(() => new LimitingServer());
    const [limiting] = servers as [LimitingServer];
    const started = await start(false, servers);
    const from = await nameLimit(started, [limiting], String(LIMIT));
    const answers = await sendFor(started, WINDOW_MS + 1_000);
    expect(limiting.countMostWithin(WINDOW_MS, from)).toBeLessThanOrEqual(MOST_IN_WINDOW);
    expect(answers.filter(({ status }) => status !== 200)).toEqual([]);
  });

  // Where no server of a service takes more, callers must hear so at once, with when to come back.
  it('should get no more than it although all servers of the service name one', async () => {
    const servers = [0, 1].map(() => new LimitingServer());
    const started = await start(true, servers);
    const from = await nameLimit(started, servers, String(LIMIT));
    const answers = await sendFor(started, WINDOW_MS + 1_000);
    const most = servers.map((server) => server.countMostWithin(WINDOW_MS, from));
    expect(Math.max(...most)).toBeLessThanOrEqual(MOST_IN_WINDOW);
    expect(answers.filter(({ status }) => status === 200).length).toBeGreaterThan(LIMIT);
    const refused = answers.filter(({ status }) => status === 503);
    expect(refused.filter(({ retryMs }) => retryMs <= 0)).toEqual([]);
  });

  // A server that names no limit any more must get its share again.
  it('should get their share again once they name none', async () => {
    const servers = [0, 1, 2].map(() => new LimitingServer());
    const [limiting] = servers as [LimitingServer];
    const started = await start(true, servers);
    await nameLimit(started, [limiting], String(LIMIT));
    limiting.limit = '';
    await sendFor(started, 1_500);
    const from = performance.now();
    await sendFor(started, 2_000);
    expect(limiting.countBetween(from, performance.now())).toBeGreaterThan(3 * LIMIT);
  });
});
