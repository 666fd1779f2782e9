import { setTimeout as pause } from 'node:timers/promises';
import {
  afterEach, describe, expect, it,
} from 'vitest';
import { applyRecords } from '../../src/core/routing/routedWorkers';
import type { Route } from '../../src/manifest/routing';
import { WorkerRecord } from '../../src/protocol/generated/beechlift';
import type { RelayRig } from '../fakes/relayRig';
import type { ServerScript } from '../fakes/scriptedServer';
import { sendRequest, serveAll, startRig } from '../fakes/sheddingCalls';
import { SheddingServer } from '../fakes/sheddingServer';

describe('a server that reports in an answer that it is leaving', () => {
  let rig: RelayRig | undefined;

  const start = async (
    route: Partial<Route>,
    ...scripts: readonly ServerScript[]
  ): Promise<RelayRig> => {
    rig = await startRig(route, scripts);
    return rig;
  };

  const call = async (started: RelayRig): Promise<number> => (await sendRequest(started)).status;

  const callInTurn = (started: RelayRig, count: number): Promise<number[]> => (
    Array.from({ length: count }).reduce<Promise<number[]>>(
      async (before) => [...await before, await call(started)],
      Promise.resolve([]),
    ));

  /** Control sends the first state again: it does not know yet that a server is leaving. */
  const announceReady = (started: RelayRig, born = 0): void => applyRecords(started.site.workers, [
    WorkerRecord.fromPartial({
      said: {
        workerId: 'w0', service: 'rooms', address: started.findServer(0).address, zone: 'a', slots: 6, state: 'ready', sequence: 9, born,
      },
      standing: 'ready',
    }),
  ], 0);

  afterEach(async () => {
    await rig?.close();
    rig = undefined;
  });

  // The server must get no requests before control has distributed its own announcement.
  it.each([200, 404, 500, 503])('should get no request after an answer of status %i', async (status) => {
    const leaving = new SheddingServer(() => ({ status, isLeaving: true }));
    const started = await start({}, leaving.script, new SheddingServer(serveAll).script);
    await callInTurn(started, 6);
    // Longer than the suspension of a server after a failed request.
    await pause(350);
    announceReady(started);
    expect(await callInTurn(started, 6)).toEqual([200, 200, 200, 200, 200, 200]);
    expect(leaving.arrivals).toHaveLength(1);
  });

  // A leaving server must not be used even if no other server is left.
  it('should get no requests or retries if it is the only server', async () => {
    const leaving = new SheddingServer(() => ({ status: 503, isLeaving: true }));
    const started = await start({}, leaving.script);
    expect(await callInTurn(started, 3)).toEqual([503, 503, 503]);
    expect(leaving.arrivals).toHaveLength(1);
  });

  it('should complete the requests that it has, including streams', async () => {
    const leaving = new SheddingServer((count) => (
      count === 1 ? { delayMs: 300 } : { isLeaving: true }));
    const other = new SheddingServer(() => ({ delayMs: 50 }));
    const started = await start({}, leaving.script, other.script);
    const first = call(started);
    await pause(20);
    const others = await Promise.all([call(started), call(started), call(started)]);
    expect(leaving.hasAnnouncedLeaving).toBe(true);
    expect([await first, ...others]).toEqual([200, 200, 200, 200]);
  });

  // A broken stream must not be resumed at a leaving server.
  it('should not get a stream that another server broke off', async () => {
    const leaving = new SheddingServer(() => ({ status: 503, isLeaving: true }));
    const event = 'id: 1\ndata: x\n\n';
    const breakOff: ServerScript = (socket) => {
      socket.write(`HTTP/1.1 200 OK\r\nx-id: r1\r\ntransfer-encoding: chunked\r\n\r\n${event.length.toString(16)}\r\n${event}\r\n`);
      setTimeout(() => socket.destroy(), 500);
    };
    const started = await start({ kind: 'stream', isResumable: true, maxAttempts: 3 }, leaving.script, breakOff);
    await call(started);
    expect(leaving.arrivals).toHaveLength(1);
  });

  it('should get requests again after a restart', async () => {
    const leaving = new SheddingServer((count) => ({ isLeaving: count === 1 }));
    const started = await start({}, leaving.script);
    expect(await callInTurn(started, 2)).toEqual([200, 503]);
    announceReady(started, 1);
    expect(await call(started)).toBe(200);
  });

  it('should be logged and counted once for each incarnation', async () => {
    const leaving = new SheddingServer(() => ({ isLeaving: true, delayMs: 30 }));
    const started = await start({}, leaving.script);
    await Promise.all([call(started), call(started), call(started)]);
    const { values } = await started.metrics.notices.get();
    expect(values.map(({ labels, value }) => [labels.notice, value])).toEqual([['leaving', 1]]);
  });
});
