import { Socket } from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';
import {
  afterEach, describe, expect, it,
} from 'vitest';
import type { CallerLimits } from '../../src/manifest/routing';
import { RelayRig } from '../fakes/relayRig';
import { makeRouting } from '../fakes/routings';
import { sendAnswer } from '../fakes/scriptedServer';

const HOST = '127.0.0.1';
const REQUEST = 'GET /orders/7 HTTP/1.1\r\nHost: shop.example\r\nx-id: r1\r\nx-key: k1\r\n\r\n';
/** Interval of the check for request heads that take too long. */
const CHECK_MS = 1_000;

/** Time after the idle time at which a connection is closed. */
const GRACE_MS = 1_000;

/** Blocks the event loop, as in a process that gets no processor time. */
const keepBusy = (ms: number): void => {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, ms);
};

describe('connections of callers to a process that was busy', () => {
  let rig: RelayRig;

  let socket: Socket;

  let text = '';

  const start = async (limits: Partial<CallerLimits>): Promise<void> => {
    const routing = makeRouting({});
    rig = await RelayRig.start({ ...routing, limits: { ...routing.limits, ...limits } }, [
      (server) => sendAnswer(server, 'r1', 'fine'),
    ]);
    text = '';
    socket = new Socket();
    socket.on('data', (piece) => {
      text += piece.toString('latin1');
    });
    socket.on('error', () => undefined);
    await new Promise<void>((resolve) => {
      socket.connect(rig.port, HOST, resolve);
    });
    await pause(50);
  };

  afterEach(async () => {
    socket.destroy();
    await rig.close();
  });

  // A complete request waits unread while the time limit for its head passes.
  it('should serve a request that was sent in time on a new connection', async () => {
    await start({ headerTimeoutMs: 500 });
    socket.write(REQUEST);
    keepBusy(CHECK_MS + 200);
    await pause(200);
    expect(text).toMatch(/^HTTP\/1.1 200 [^]*fine$/);
  });

  // A request that was sent in time waits unread while the idle time of its connection passes.
  it('should serve a request that was sent in time on an idle connection', async () => {
    await start({ idleTimeoutMs: 500 });
    socket.write(REQUEST);
    await pause(100);
    text = '';
    await pause(300);
    socket.write(REQUEST);
    keepBusy(GRACE_MS + 500);
    await pause(200);
    expect(text).toMatch(/^HTTP\/1.1 200 [^]*fine$/);
  });

  it('should close a connection that stays idle', async () => {
    await start({ idleTimeoutMs: 300 });
    socket.write(REQUEST);
    await pause(GRACE_MS + 600);
    expect([text.length > 0, socket.destroyed]).toEqual([true, true]);
  });
});
