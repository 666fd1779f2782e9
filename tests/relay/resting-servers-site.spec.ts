import { setTimeout as pause } from 'node:timers/promises';
import {
  afterEach, describe, expect, it,
} from 'vitest';
import { RoutedSite } from '../fakes/routedSite';
import type { SiteAnswer } from '../fakes/routedSite';
import { makeRoute } from '../fakes/routings';
import { SheddingServer } from '../fakes/sheddingServer';
import type { ShedAnswer } from '../fakes/sheddingServer';

const ENTRIES = 2;
const SENDS = 80;
const GAP_MS = 25;
const REST_MS = 2_500;
/** Requests of an entry that may reach a server within a rest. */
const MOST_IN_REST = 2;
/** Refusals of an entry that knows of no server to send to. */
const REFUSED_CODES = ['backendsResting', 'noBackend'];
/** Half a second after an answer, requests may still arrive that were on their way. */
const ON_ITS_WAY_MS = 500;
/** Long enough for a slot to become free while this process is held up. */
const TARGET_MS = 2_000;

const serveAll = (): ShedAnswer => ({ delayMs: 30 });

describe('engines of a whole site that ask for rest or leave', () => {
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

  // Guards against slots that the leader gives to entries which the engine turned away.
  it('should get one request of each entry, until the rest is over', async () => {
    const resting = new SheddingServer(() => ({ status: 503, restMs: REST_MS }), ON_ITS_WAY_MS);
    const started = await start(resting, new SheddingServer(serveAll));
    const answers = await sendInTurn(started);
    expect(resting.mostInRest).toBe(0);
    expect(answers.filter(({ code }) => REFUSED_CODES.includes(code))).toEqual([]);
  });

  // Guards against slots of an engine that leaves, of which the leader has not heard.
  it('should get one request of each entry that hears of its leaving', async () => {
    const leaving = new SheddingServer(() => ({ isLeaving: true }), ON_ITS_WAY_MS);
    const started = await start(leaving, new SheddingServer(serveAll));
    const answers = await sendInTurn(started);
    expect(leaving.lateCount).toBe(0);
    expect(answers.filter(({ code }) => REFUSED_CODES.includes(code))).toEqual([]);
  });

  it('should be left alone where all rest, with a time to come back for callers', async () => {
    const servers = [0, 1].map(() => (
      new SheddingServer(() => ({ status: 503, restMs: REST_MS }), ON_ITS_WAY_MS)));
    const answers = await sendInTurn(await start(...servers));
    expect(Math.max(...servers.map(({ mostInRest }) => mostInRest)))
      .toBeLessThanOrEqual(MOST_IN_REST);
    const refused = answers.filter(({ code }) => code === 'backendsResting');
    expect(refused.length).toBeGreaterThan(SENDS / 2);
    expect(refused.filter(({ retryMs }) => retryMs === 0)).toEqual([]);
  });
});
