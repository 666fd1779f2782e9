import { setTimeout as pause } from 'node:timers/promises';
import {
  afterEach, describe, expect, it,
} from 'vitest';
import { SLOW_TEXT } from '../fakes/fragileServer';
import { RoutedSite } from '../fakes/routedSite';
import { makeRoute } from '../fakes/routings';

const ENTRIES = 2;
const SERVERS = 3;
const ROUNDS = 6;
/** Fewer requests than the servers have slots for. */
const BURST = 14;
const GAP_MS = 1_000;

describe('engines that all start their answers late', () => {
  let site: RoutedSite;

  afterEach(() => site.close());

  // Fault: in a burst all engines answered late, and requests were aborted at each of them without
  // finding another one.
  it.each([true, false])('should answer the requests that they accepted, placed by the leader: %s', async (isEngine) => {
    site = await RoutedSite.start({
      services: [{ name: 'rooms', maxConnections: 100, isEngine }],
      routes: [makeRoute({ kind: 'idempotent', timeoutMs: 4_000, targetLatencyMs: 200 })],
    }, ENTRIES);
    await site.addServers(SERVERS);
    const answers = Array.from({ length: ROUNDS * BURST }, async (unused, position) => {
      await pause(Math.floor(position / BURST) * GAP_MS);
      const { status, code } = await site.send(position, SLOW_TEXT);
      return `${status} ${code}`;
    });
    const lost = (await Promise.all(answers)).filter((answer) => !/^(200 |503 \w+)$/.test(answer));
    expect(lost).toEqual([]);
  });
});
