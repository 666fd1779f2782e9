import { setTimeout as pause } from 'node:timers/promises';
import fc from 'fast-check';
import {
  afterEach, describe, expect, it,
} from 'vitest';
import type { Route } from '../../src/manifest/routing';
import type { RelayRig } from '../fakes/relayRig';
import { runSearchAsync } from '../fakes/runSearch';
import { sendAnswer } from '../fakes/scriptedServer';
import type { ServerScript } from '../fakes/scriptedServer';
import { sendRequest, serveAll, startRig } from '../fakes/sheddingCalls';
import type { CallerAnswer } from '../fakes/sheddingCalls';
import { SheddingServer } from '../fakes/sheddingServer';
import type { SheddingAnswer } from '../fakes/sheddingServer';

/** Most requests that may reach a server within a backoff. */
const MAX_IN_BACKOFF = 2;
const GAP_MS = 15;

describe('a server that asked for a backoff', () => {
  let rig: RelayRig | undefined;

  const start = async (
    route: Partial<Route>,
    ...scripts: readonly ServerScript[]
  ): Promise<RelayRig> => {
    rig = await startRig(route, scripts);
    return rig;
  };

  const startServers = async (...servers: readonly SheddingServer[]): Promise<RelayRig> => (
    start({}, ...servers.map(({ script }) => script)));

  /** Sends requests at a constant rate, without waiting for their answers. */
  const callFor = (started: RelayRig, ms: number, gapMs = GAP_MS): Promise<CallerAnswer[]> => (
    Promise.all(Array.from({ length: Math.floor(ms / gapMs) }, async (unused, position) => {
      await pause(position * gapMs);
      return sendRequest(started);
    })));

  afterEach(async () => {
    await rig?.close();
    rig = undefined;
  });

  // The entry's own suspension is shorter than the backoff and must not end it.
  it('should get no request until its backoff ends while another server accepts requests', async () => {
    const resting = new SheddingServer(() => ({ status: 503, restMs: 1_800 }));
    const other = new SheddingServer(serveAll);
    const started = await startServers(resting, other);
    const answers = [await sendRequest(started), ...await callFor(started, 1_600)];
    expect(resting.arrivals).toHaveLength(1);
    expect(answers.filter(({ status }) => status !== 200)).toEqual([]);
  });

  // The answer to an earlier request must not end the backoff.
  it('should get no request although it answers one that it had accepted before', async () => {
    const resting = new SheddingServer((count) => (
      count === 1 ? { delayMs: 120 } : { status: 503, restMs: 1_500 }));
    const started = await startServers(resting, new SheddingServer(() => ({ delayMs: 200 })));
    await callFor(started, 1_400, 25);
    expect(resting.arrivals.length).toBeGreaterThan(1);
    expect(resting.maxDuringBackoff).toBe(0);
  });

  // If all servers are backing off, neither requests nor retries may use them as a last resort.
  it('should get at most two requests within its backoff if all servers of a service are backing off', async () => {
    const servers = [1_200, 1_500].map((restMs) => (
      new SheddingServer(() => ({ status: 503, restMs }))));
    const answers = await callFor(await startServers(...servers), 1_400);
    expect(servers.map(({ maxDuringBackoff }) => maxDuringBackoff <= MAX_IN_BACKOFF))
      .toEqual([true, true]);
    expect(new Set(answers.map(({ status }) => status))).toEqual(new Set([503]));
  });

  // Callers must neither wait without a chance of an answer nor retry too early.
  it('should be reported to callers at once, with the shortest backoff, if all are backing off', async () => {
    const servers = [2_000, 3_000].map((restMs) => (
      new SheddingServer(() => ({ status: 503, restMs }))));
    const started = await startServers(...servers);
    await sendRequest(started);
    const sentAt = performance.now();
    const answers = await Promise.all(Array.from({ length: 20 }, () => sendRequest(started)));
    expect(performance.now() - sentAt).toBeLessThan(300);
    const times = answers.map(({ retryMs }) => retryMs);
    expect(Math.min(...times)).toBeGreaterThan(1_600);
    expect(Math.max(...times)).toBeLessThan(2_600);
    expect(new Set(times).size).toBeGreaterThan(10);
  });

  // If each server refuses some requests, the entry's backoffs must not cause an outage.
  it('should not cause an outage if servers refuse requests at random', async () => {
    const servers = [0, 1, 2].map((offset) => new SheddingServer((count) => (
      (7 * count + 3 * offset) % 10 < 3 ? { status: 503, restMs: 600 } : {})));
    const answers = await callFor(await startServers(...servers), 3_000, 250);
    expect(servers.map(({ maxDuringBackoff }) => maxDuringBackoff <= MAX_IN_BACKOFF))
      .toEqual([true, true, true]);
    const served = answers.filter(({ status }) => status === 200).length;
    expect(served / answers.length).toBeGreaterThan(0.8);
  });

  // A broken stream must not be resumed at a server that is backing off.
  it('should not get a stream that another server broke off', async () => {
    const resting = new SheddingServer(() => ({ status: 503, restMs: 1_500 }));
    const event = 'id: 1\ndata: x\n\n';
    const breakOff: ServerScript = (socket) => {
      socket.write(`HTTP/1.1 200 OK\r\nx-id: r1\r\ntransfer-encoding: chunked\r\n\r\n${event.length.toString(16)}\r\n${event}\r\n`);
      setTimeout(() => socket.destroy(), 500);
    };
    const started = await start({ kind: 'stream', isResumable: true, maxAttempts: 3 }, resting.script, breakOff);
    await sendRequest(started);
    expect(resting.arrivals).toHaveLength(1);
  });

  // A failure of the server may also contain a backoff.
  it('should get no request even if its answer does not report the request as not run', async () => {
    const resting = { arrivals: 0 };
    const failOnce: ServerScript = (socket) => {
      resting.arrivals += 1;
      sendAnswer(socket, 'r1', 'full', 503, 'x-rest-ms: 1200\r\n');
    };
    const started = await start({}, failOnce, new SheddingServer(serveAll).script);
    await sendRequest(started);
    await callFor(started, 1_000, 50);
    expect(resting.arrivals).toBe(1);
  });

  // No order of answers and backoffs may let a third request through.
  it('should get at most two requests within any backoff, whatever the servers answer', async () => {
    const answer = fc.record({
      status: fc.constantFrom(200, 200, 200, 500, 503, 503),
      restMs: fc.constantFrom(0, 200, 500, 900, 1_500),
      delayMs: fc.constantFrom(0, 0, 5, 40, 150),
    }).map((drawn) => ({ ...drawn, restMs: drawn.status === 503 ? drawn.restMs : 0 }));
    const plan = fc.array(answer, { minLength: 8, maxLength: 40 });
    const all = fc.array(plan, { minLength: 1, maxLength: 3 });
    const property = fc.asyncProperty(all, async (plans) => {
      const servers = plans.map((answers) => (
        new SheddingServer((count) => answers[count % answers.length] as SheddingAnswer)));
      const started = await startServers(...servers);
      await callFor(started, 1_600, 10);
      await started.close();
      const most = Math.max(...servers.map(({ maxDuringBackoff }) => maxDuringBackoff));
      if (most > MAX_IN_BACKOFF) throw new Error(`${most} requests within a rest`);
    });
    expect(await runSearchAsync(property, { runs: 4, seed: 4_711 })).toBeGreaterThan(0);
  });
});
