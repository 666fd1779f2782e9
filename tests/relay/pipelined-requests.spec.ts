import { Socket } from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';
import {
  afterEach, describe, expect, it,
} from 'vitest';
import type { CallerLimits, Route } from '../../src/manifest/routing';
import { RelayRig } from '../fakes/relayRig';
import { makeRoute, makeRouting } from '../fakes/routings';
import { sendAnswer } from '../fakes/scriptedServer';
import type { ServerScript } from '../fakes/scriptedServer';

const HOST = '127.0.0.1';
const HEADERS = 'Host: shop.example\r\nx-id: r1\r\nx-key: k1\r\n';
const FIRST = `GET /orders/1 HTTP/1.1\r\n${HEADERS}\r\n`;
const SECOND = `GET /orders/2 HTTP/1.1\r\n${HEADERS}\r\n`;
const BAD_BODY = `POST /orders/2 HTTP/1.1\r\n${HEADERS}transfer-encoding: chunked\r\n\r\nno chunk\r\n`;
const STEP_MS = 150;
/** Interval of the check for request heads that take too long. */
const HEAD_CHECK_MS = 1_000;

const BEGIN = 'HTTP/1.1 200 X\r\nx-id: r1\r\ntransfer-encoding: chunked\r\n\r\n5\r\nbegun\r\n';
const END = '5\r\nended\r\n0\r\n\r\n';

/** Answers the second request at once, and the first one with a stream. */
const makeScript = (streamMs: number): ServerScript => (socket, request) => {
  if (request.includes('/orders/2')) {
    sendAnswer(socket, 'r1', 'second');
    return;
  }
  socket.write(BEGIN);
  setTimeout(() => socket.write(END), streamMs);
};

describe('requests that are written without waiting for the answer before', () => {
  let rig: RelayRig;

  let socket: Socket;

  let text = '';

  const start = async (
    script: ServerScript,
    route: Partial<Route> = {},
    limits: Partial<CallerLimits> = {},
  ): Promise<void> => {
    const routes = [makeRoute({ kind: 'stream', timeoutMs: 9_000, ...route })];
    const routing = makeRouting({ routes });
    rig = await RelayRig.start({ ...routing, limits: { ...routing.limits, ...limits } }, [script]);
    text = '';
    socket = new Socket();
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

  // Fault: the refusal of a body was written into the answer in progress, and cut it off.
  it('should not cut off an answer in progress by an invalid body', async () => {
    await start(makeScript(2 * STEP_MS));
    socket.write(FIRST);
    await pause(STEP_MS);
    socket.write(BAD_BODY);
    await pause(2 * STEP_MS);
    expect(text).toMatch(/^HTTP\/1.1 200 [^]*begun\r\n5\r\nended\r\n0\r\n\r\nHTTP\/1.1 400 /);
    expect(rig.received).toHaveLength(1);
  });

  // Fault: a head that had taken long was refused after its request had been answered, and the
  // connection was closed.
  it('should keep the connection if a head that took long was complete before the refusal', async () => {
    await start(makeScript(2 * HEAD_CHECK_MS), {}, { headerTimeoutMs: STEP_MS });
    socket.write(FIRST);
    await pause(STEP_MS);
    const [line = '', ...lines] = SECOND.split('\r\n');
    socket.write(`${line}\r\n`);
    await pause(1.5 * HEAD_CHECK_MS);
    socket.write(lines.join('\r\n'));
    await pause(HEAD_CHECK_MS);
    expect(text).toMatch(/ended\r\n0\r\n\r\nHTTP\/1.1 200 [^]*\r\n\r\nsecond$/);
    expect(socket.readyState).toBe('open');
  });

  // Fault: a request was run although the answer before it closed the connection, so its caller
  // got no answer and could not tell whether it had run.
  it.each([
    ['an answer without a length to an HTTP/1.0 caller', FIRST.replace('HTTP/1.1', 'HTTP/1.0'), 'HTTP/1.1 200 X\r\nx-id: r1\r\n\r\nfirst'],
    ['an answer that its server breaks off', FIRST, `${BEGIN}5\r\nbr`],
    ['a refusal of its head', FIRST.replace('Host', 'Host: other.example\r\nHost'), ''],
  ])('should run no request behind one that closes the connection: %s', async (name, first, answer) => {
    await start((server, request) => {
      if (request.includes('/orders/2')) sendAnswer(server, 'r1', 'second');
      else setTimeout(() => server.end(answer), STEP_MS);
    });
    socket.write(first + SECOND);
    await pause(3 * STEP_MS);
    expect(socket.destroyed).toBe(true);
    expect(rig.received.filter((request) => request.includes('/orders/2'))).toEqual([]);
  });

  // Fault: the second request was run on after its caller had left.
  it('should run no request whose caller has left', async () => {
    await start((server) => {
      server.write(BEGIN);
    });
    socket.write(FIRST + SECOND);
    await pause(STEP_MS);
    socket.destroy();
    await pause(STEP_MS);
    const runningCount = rig.received.length - rig.findServer(0).closedCount;
    expect([runningCount, await rig.countOpenRequests()]).toEqual([0, 0]);
  });
});
