import { once } from 'node:events';
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { setImmediate as endTurn, setTimeout as pause } from 'node:timers/promises';
import {
  afterEach, describe, expect, it,
} from 'vitest';
import { RelayRig } from '../fakes/relayRig';
import { makeRoute, makeRouting } from '../fakes/routings';
import { sendAnswer } from '../fakes/scriptedServer';

const HOST = '127.0.0.1';
const HEADERS = 'Host: shop.example\r\nx-id: r1\r\nx-key: k1\r\n';
const GET = `GET /orders/7 HTTP/1.1\r\n${HEADERS}\r\n`;
const POST = `POST /orders/7 HTTP/1.1\r\n${HEADERS}content-length: 4\r\n\r\nbody`;
const BUSY_MS = 20;
const SETTLE_MS = 100;

/** Blocks the event loop, as in a process that gets no processor time. */
const keepBusy = (ms: number): void => {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, ms);
};

const departures: readonly [string, (socket: Socket) => void][] = [
  ['closed', (socket) => socket.destroy()],
  ['half-closed', (socket) => socket.end()],
  ['reset', (socket) => socket.resetAndDestroy()],
];

const requests: readonly [string, string][] = [
  ['a request', GET],
  ['a request with a body', POST],
  ['pipelined requests', GET + POST],
];

interface DepartureCase {
  readonly name: string;
  readonly text: string;
  readonly verb: string;
  readonly leave: (socket: Socket) => void;
  readonly count: number;
}

const cases: readonly DepartureCase[] = requests.flatMap(([name, text]) => (
  departures.flatMap(([verb, leave]) => (
    [1, 40].map((count) => ({
      name, text, verb, leave, count,
    }))))));

describe('a request whose caller left before the entry read it', () => {
  let rig: RelayRig;

  const sockets: Socket[] = [];

  afterEach(async () => {
    sockets.splice(0).forEach((socket) => socket.destroy());
    await rig.close();
  });

  const start = async (): Promise<void> => {
    rig = await RelayRig.start(makeRouting({ routes: [makeRoute({ kind: 'nonIdempotent' })] }), [
      (server, request) => sendAnswer(server, 'r1', request.slice(0, 3)),
    ]);
  };

  const startCaller = (): Socket => {
    const socket = connect({ host: HOST, port: rig.port });
    socket.on('error', () => undefined);
    sockets.push(socket);
    return socket;
  };

  const openCaller = async (): Promise<Socket> => {
    const socket = startCaller();
    await once(socket, 'connect');
    return socket;
  };

  const callAll = async (callers: readonly Socket[]): Promise<void> => {
    await Promise.all(callers.map(async (socket) => {
      socket.write(GET);
      await once(socket, 'data');
    }));
    await pause(20);
  };

  /** Opens connections to servers and reuses them, so that their next use is not the first one. */
  const warmUp = async (callers: readonly Socket[]): Promise<void> => {
    await callAll(callers);
    await callAll(callers);
  };

  /** Sends requests and leaves before they are read; counts those that reach a server. */
  const sendAndLeave = async (
    callers: readonly Socket[],
    { text, leave }: Pick<DepartureCase, 'text' | 'leave'>,
  ): Promise<number> => {
    const before = rig.received.length;
    callers.forEach((socket) => {
      socket.write(text);
      leave(socket);
    });
    keepBusy(BUSY_MS);
    await pause(SETTLE_MS);
    return rig.received.length - before;
  };

  // Fault: a process that was busy read a request and the end of its caller's connection together,
  // and sent the request to a server before it noticed that end.
  it.each(cases)('should not reach a server, on a kept connection: $name, $verb, $count callers', async ({ text, leave, count }) => {
    await start();
    const callers = await Promise.all(Array.from({ length: count }, openCaller));
    await warmUp(callers);
    expect(await sendAndLeave(callers, { text, leave })).toBe(0);
  });

  // Fault: the same for a connection that the process had not accepted yet.
  it.each(cases)('should not reach a server, on a new connection: $name, $verb, $count callers', async ({ text, leave, count }) => {
    await start();
    await warmUp(await Promise.all(Array.from({ length: count }, openCaller)));
    const callers = Array.from({ length: count }, startCaller);
    // The operating system has connected them, and the entry has not accepted them.
    await endTurn();
    expect(await sendAndLeave(callers, { text, leave })).toBe(0);
  });

  // Fault: the same for a request that needed a new connection to its server.
  it.each(cases)('should not reach a server that has no open connection: $name, $verb, $count callers', async ({ text, leave, count }) => {
    await start();
    const callers = await Promise.all(Array.from({ length: count }, openCaller));
    expect(await sendAndLeave(callers, { text, leave })).toBe(0);
  });
});
