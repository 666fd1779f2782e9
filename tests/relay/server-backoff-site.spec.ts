import { setTimeout as pause } from 'node:timers/promises';
import {
  afterEach, describe, expect, it,
} from 'vitest';
import { RoutedSite } from '../fakes/routedSite';
import type { SiteAnswer } from '../fakes/routedSite';
import { makeRoute } from '../fakes/routings';
import { SheddingServer } from '../fakes/sheddingServer';
import type { SheddingAnswer } from '../fakes/sheddingServer';

const ENTRIES = 2;
const SENDS = 80;
const GAP_MS = 25;
const REST_MS = 2_500;
/** Most requests of an entry that may reach a server within a backoff. */
const MAX_IN_BACKOFF = 2;
/** Result codes of an entry that knows no usable server. */
const REFUSED_CODES = ['backendsResting', 'noBackend'];
/** Time after an answer in which requests that were in flight may still arrive, in milliseconds. */
const ON_ITS_WAY_MS = 500;
/** Long enough for a slot to become free even while this process is busy. */
const TARGET_MS = 2_000;

const serveAll = (): SheddingAnswer => ({ delayMs: 30 });

describe('engines of a site that ask for a backoff or leave', () => {
  let site: RoutedSite | undefined;

  const start = async (...servers: readonly SheddingServer[]): Promise<RoutedSite> => {
    site = await RoutedSite.start({
      services: [{ name: 'rooms', maxConnections: 100, isEngine: true }],
      routes: [makeRoute({ targetLatencyMs: TARGET_MS })],
    }, ENTRIES);
    await site.addScripted(...servers.map(({ script }) => script));
    return site;
  };

  const sendInTurn = (started: RoutedSite): Promise<SiteAnswer[]> => (
    Promise.all(Array.from({ length: SENDS }, async (unused, position) => {
      await pause(position * GAP_MS);
      return started.send(position, 'tea');
    })));

  afterEach(async () => {
    await site?.close();
    site = undefined;
  });

  // The leader must not grant slots to entries that the engine asked for a backoff.
  it('should get one request of each entry until the backoff ends', async () => {
    const resting = new SheddingServer(() => ({ status: 503, restMs: REST_MS }), ON_ITS_WAY_MS);
    const started = await start(resting, new SheddingServer(serveAll));
    const answers = await sendInTurn(started);
    expect(resting.maxDuringBackoff).toBe(0);
    expect(answers.filter(({ code }) => REFUSED_CODES.includes(code))).toEqual([]);
  });

  // The leader may not know yet that an engine is leaving.
  it('should get one request of each entry once they are leaving', async () => {
    const leaving = new SheddingServer(() => ({ isLeaving: true }), ON_ITS_WAY_MS);
    const started = await start(leaving, new SheddingServer(serveAll));
    const answers = await sendInTurn(started);
    expect(leaving.countAfterLeaving).toBe(0);
    expect(answers.filter(({ code }) => REFUSED_CODES.includes(code))).toEqual([]);
  });

  it('should get few requests while all are backing off, with a Retry-After for callers', async () => {
    const servers = [0, 1].map(() => (
      new SheddingServer(() => ({ status: 503, restMs: REST_MS }), ON_ITS_WAY_MS)));
    const answers = await sendInTurn(await start(...servers));
    expect(Math.max(...servers.map(({ maxDuringBackoff }) => maxDuringBackoff)))
      .toBeLessThanOrEqual(MAX_IN_BACKOFF);
    const refused = answers.filter(({ code }) => code === 'backendsResting');
    expect(refused.length).toBeGreaterThan(SENDS / 2);
    expect(refused.filter(({ retryMs }) => retryMs === 0)).toEqual([]);
  });
});
