import { EventEmitter } from 'node:events';
import { Socket } from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';
import {
  afterEach, beforeEach, describe, expect, it, vi,
} from 'vitest';
import { OpenRequests } from '../../src/relay/openRequests';
import { RelayMetrics } from '../../src/relay/relayMetrics';
import { RelayRig } from '../fakes/relayRig';
import { makeRoute, makeRouting } from '../fakes/routings';
import { sendAnswer } from '../fakes/scriptedServer';

const HOST = '127.0.0.1';
const HEAD = 'Host: shop.example\r\nx-id: r1\r\nx-key: k1\r\n';
const SETTLE_MS = 3_500;

describe('the requests that an entry counts as open', () => {
  let rig: RelayRig;

  const sockets: Socket[] = [];

  const openConnection = async (text: string): Promise<Socket> => {
    const socket = new Socket();
    sockets.push(socket);
    socket.on('error', () => undefined);
    await new Promise<void>((resolve) => {
      socket.connect(rig.port, HOST, resolve);
    });
    socket.write(text);
    return socket;
  };

  beforeEach(async () => {
    rig = await RelayRig.start(makeRouting({ routes: [makeRoute({ timeoutMs: 1_000 })] }), [
      (server) => sendAnswer(server, 'r1', 'fine'),
    ]);
  });

  afterEach(async () => {
    sockets.splice(0).forEach((socket) => socket.destroy());
    await rig.close();
  });

  const waitNone = (): Promise<void> => vi.waitFor(async () => {
    expect(await rig.countOpenRequests()).toBe(0);
  }, { timeout: SETTLE_MS });

  // Fault: a caller disconnected while its request waited for a lease. The entry then waited half a
  // minute for the body, and a shutdown waited for the request.
  it('should not include a request whose caller disconnected while it waited for a lease', async () => {
    vi.spyOn(rig.site, 'isServing', 'get').mockReturnValue(false);
    const socket = await openConnection(`POST /orders/7 HTTP/1.1\r\n${HEAD}content-length: 1\r\n\r\nx`);
    await pause(50);
    expect(await rig.countOpenRequests()).toBe(1);
    socket.destroy();
    await pause(50);
    vi.restoreAllMocks();
    await waitNone();
  });

  it('should not include a request whose caller disconnected in the middle of its body', async () => {
    const socket = await openConnection(`POST /orders/7 HTTP/1.1\r\n${HEAD}content-length: 9\r\n\r\nx`);
    await pause(50);
    socket.destroy();
    await waitNone();
  });

  // Several pipelined requests whose caller disconnects while the first one is served.
  it('should include none of several requests whose caller disconnected', async () => {
    const socket = await openConnection(`GET /orders/7 HTTP/1.1\r\n${HEAD}\r\n`.repeat(5));
    socket.destroy();
    await waitNone();
  });

  it.each([
    ['two hosts', `GET /orders/7 HTTP/1.1\r\n${HEAD}Host: b.example\r\n\r\n`],
    ['no host', 'GET /orders/7 HTTP/1.1\r\nx-id: r1\r\n\r\n'],
    ['non-ASCII bytes in a path', `GET /orders/\xe4\xff HTTP/1.1\r\n${HEAD}\r\n`],
    ['a tab in a path', `GET /orders/a\tb HTTP/1.1\r\n${HEAD}\r\n`],
    ['non-ASCII bytes in a header', `GET /orders/7 HTTP/1.1\r\n${HEAD}x-a: \xe4\xff\x80\r\n\r\n`],
    ['a control character in a header', `GET /orders/7 HTTP/1.1\r\n${HEAD}x-a: \x01\r\n\r\n`],
    ['an empty header', `GET /orders/7 HTTP/1.1\r\n${HEAD}x-a:\r\n\r\n`],
    ['a content length of 0', `GET /orders/7 HTTP/1.1\r\n${HEAD}content-length: 0\r\n\r\n`],
    ['a GET with a body', `GET /orders/7 HTTP/1.1\r\n${HEAD}content-length: 1\r\n\r\nx`],
    ['a chunked body', `POST /orders/7 HTTP/1.1\r\n${HEAD}transfer-encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n`],
    ['an upgrade', `GET /orders/7 HTTP/1.1\r\n${HEAD}connection: upgrade\r\nupgrade: websocket\r\n\r\n`],
    ['an unusual method', `PURGE /orders/7 HTTP/1.1\r\n${HEAD}\r\n`],
    ['an absolute URL', `GET http://shop.example/orders/7 HTTP/1.1\r\n${HEAD}\r\n`],
    ['an Expect header', `POST /orders/7 HTTP/1.1\r\n${HEAD}expect: 100-continue\r\ncontent-length: 1\r\n\r\nx`],
    ['HTTP 1.0', `GET /orders/7 HTTP/1.0\r\n${HEAD}\r\n`],
    ['a TRACE request', `TRACE /orders/7 HTTP/1.1\r\n${HEAD}\r\n`],
    ['a HEAD request', `HEAD /orders/7 HTTP/1.1\r\n${HEAD}\r\n`],
    ['server-wide options', `OPTIONS * HTTP/1.1\r\n${HEAD}\r\n`],
  ])('should all be answered, whatever their heads: %s', async (name, text) => {
    const answer = await rig.send(text, 200);
    expect(answer).toMatch(/^HTTP\/1.1 \d{3} /);
    await waitNone();
    expect(rig.site.workers.byId.get('w0')?.inFlight).toBe(0);
  });

  // Fault: a request with two hosts cannot be written, and each server counted as unreachable.
  it('should not include a request with two hosts, which counts against no server', async () => {
    const answer = await rig.send(`GET /orders/7 HTTP/1.1\r\n${HEAD}Host: b.example\r\n\r\n`);
    expect(answer).toMatch(/^HTTP\/1.1 400 /);
    expect(rig.site.workers.byId.get('w0')).toMatchObject({ suspendedUntil: 0, failureShare: 0 });
  });
});

describe('a connection that stays open', () => {
  // Fault: each answer that was not written at once left a listener on its connection.
  it('should have no listener left once its answer is written', async () => {
    const open = new OpenRequests(new RelayMetrics());
    const socket = new EventEmitter();
    const response = new EventEmitter();
    const run = vi.fn().mockResolvedValue(undefined);
    const request = { run, refuseForShutdown: run, abortAnswer: run };
    const served = open.serve(request, { request: { socket }, response } as never);
    await pause(1);
    response.emit('close');
    await served;
    expect(socket.listenerCount('close')).toBe(0);
  });
});
