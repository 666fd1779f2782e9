import { setTimeout as pause } from 'node:timers/promises';
import {
  afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import { BrittleServer } from '../fakes/brittleServer';
import { RoutedSite } from '../fakes/routedSite';
import type { SiteAnswer } from '../fakes/routedSite';
import { makeRoute } from '../fakes/routings';

const ENTRIES = 3;
/** As many as a scripted server announces slots. */
const ROOM = 6;
const LIMIT = 5;
const BURST = 60;
const BURSTS = 4;
const BURST_GAP_MS = 500;
const CALM = 20;
const CALM_GAP_MS = 30;

describe('servers that bear few requests that they turn away', () => {
  let site: RoutedSite;
  let servers: readonly BrittleServer[];

  const sendCalmly = (): Promise<SiteAnswer[]> => Promise.all(
    Array.from({ length: CALM }, async (unused, position) => {
      await pause(position * CALM_GAP_MS);
      return site.send(position, 'tea');
    }),
  );

  const sendBursts = (): Promise<SiteAnswer[]> => Promise.all(
    Array.from({ length: BURSTS * BURST }, async (unused, position) => {
      await pause(Math.floor(position / BURST) * BURST_GAP_MS);
      return site.send(position, 'tea');
    }),
  );

  beforeEach(async () => {
    servers = [0, 1, 2].map(() => new BrittleServer(ROOM, LIMIT));
    site = await RoutedSite.start({
      services: [{ name: 'rooms', maxConnections: 100, isEngine: false }],
      routes: [makeRoute({ targetLatencyMs: 400 })],
    }, ENTRIES);
    await site.addScripted(...servers.map(({ script }) => script));
  });

  afterEach(() => site.close());

  // Fault: entries that choose servers by themselves had so many requests turned away in a burst
  // that the servers failed.
  it('should turn away no more than that in bursts', async () => {
    await sendCalmly();
    const from = performance.now();
    const answers = await sendBursts();
    servers.forEach((server) => (
      expect(server.countMostTurnedAway(from)).toBeLessThanOrEqual(LIMIT)));
    expect(answers.filter(({ status }) => status === 200).length).toBeGreaterThan(BURST);
    expect(answers.filter(({ status }) => ![200, 503].includes(status))).toEqual([]);
  });

  it('should get requests as before once they no longer say so', async () => {
    await sendCalmly();
    servers.forEach((server) => Object.assign(server, { isBrittle: false }));
    await sendCalmly();
    const answers = await sendCalmly();
    expect(answers.filter(({ status }) => status !== 200)).toEqual([]);
  });
});
