import { Socket } from 'node:net';
import type { SocketConstructorOpts } from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';
import {
  afterEach, describe, expect, it,
} from 'vitest';
import { RelayRig } from '../fakes/relayRig';
import { makeRoute, makeRouting } from '../fakes/routings';
import type { ServerScript } from '../fakes/scriptedServer';

const HOST = '127.0.0.1';
const REQUEST = 'GET /orders/7 HTTP/1.1\r\nHost: shop.example\r\nx-id: r1\r\nx-key: k1\r\n\r\n';
/** Interval of the check for request heads that take too long. */
const CHECK_MS = 1_000;
const STREAM_MS = 1_800;

const answerSlowly: ServerScript = (server) => {
  server.write('HTTP/1.1 200 X\r\nx-id: r1\r\ntransfer-encoding: chunked\r\n\r\n5\r\nbegun\r\n');
  setTimeout(() => server.write('5\r\nended\r\n0\r\n\r\n'), STREAM_MS);
};

describe('a connection on which no request can be read', () => {
  let rig: RelayRig;

  let socket: Socket;

  let text = '';

  const start = async (options: SocketConstructorOpts = {}): Promise<void> => {
    const routing = makeRouting({ routes: [makeRoute({ kind: 'stream', timeoutMs: 4_000 })] });
    const limits = { ...routing.limits, headerTimeoutMs: 300 };
    rig = await RelayRig.start({ ...routing, limits }, [answerSlowly]);
    text = '';
    socket = new Socket(options);
    socket.on('data', (piece) => {
      text += piece.toString('latin1');
    });
    socket.on('error', () => undefined);
    await new Promise<void>((resolve) => {
      socket.connect(rig.port, HOST, resolve);
    });
  };

  afterEach(async () => {
    socket.destroy();
    await rig.close();
  });

  // Fault: a head that took too long was answered with 400, as if the request were invalid.
  it('should answer a head that takes too long with 408 and close', async () => {
    await start();
    socket.write('GET /orders/7 HTTP/1.1\r\n');
    await pause(CHECK_MS + 600);
    expect(text).toMatch(/^HTTP\/1.1 408 /);
    expect(socket.destroyed).toBe(true);
  });

  // Fault: input after a request was answered in the middle of that request's stream.
  it.each([
    ['a head that takes too long', 'GET /orders/8 HTTP/1.1\r\n'],
    ['no request at all', 'what is this?\r\n\r\n'],
  ])('should first finish the answer in progress: %s', async (name, behind) => {
    await start();
    socket.write(REQUEST);
    await pause(100);
    socket.write(behind);
    await pause(STREAM_MS + 300);
    expect(text).toMatch(/^HTTP\/1.1 200 [^]*begun\r\n5\r\nended\r\n0\r\n\r\nHTTP\/1.1 40[08] /);
    expect(socket.destroyed).toBe(true);
  });

  // Fault: a request that arrived while its connection was being refused was run, although its
  // caller was told that it was not.
  it('should run no request that arrives after the refusal', async () => {
    await start({ allowHalfOpen: true });
    await pause(CHECK_MS + 600);
    expect(text).toMatch(/^HTTP\/1.1 408 /);
    socket.write(REQUEST);
    await pause(100);
    expect(rig.received).toEqual([]);
  });
});
