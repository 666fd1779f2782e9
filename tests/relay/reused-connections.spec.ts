import type { Socket } from 'node:net';
import { setImmediate as endTurn } from 'node:timers/promises';
import {
  afterEach, describe, expect, it, vi,
} from 'vitest';
import type { Route } from '../../src/manifest/routing';
import { UpstreamCall } from '../../src/relay/upstreamCall';
import type { UpstreamOutcome } from '../../src/relay/upstreamCall';
import { WorkerConnections } from '../../src/relay/workerConnections';
import { RawCaller } from '../fakes/rawCaller';
import { RelayRig } from '../fakes/relayRig';
import { makeRoute, makeRouting } from '../fakes/routings';
import { ScriptedServer } from '../fakes/scriptedServer';

const REQUEST = { id: 'r1', path: '/orders/7', headers: { 'x-key': 'k1' } };
const EVENT = 'id: 1\ndata: a\n\n';
const ANSWER = `HTTP/1.1 200 X\r\nx-id: r1\r\ntransfer-encoding: chunked\r\n\r\n${EVENT.length.toString(16)}\r\n${EVENT}\r\n0\r\n\r\n`;

/** More than the buffers of a connection hold. */
const LARGE_BODY_BYTES = 50_000_000;

const kinds: readonly [string, Partial<Route>][] = [
  ['a stream that may run once', { kind: 'stream', isResumable: false, maxAttempts: 1 }],
  ['a stream that may be resumed', { kind: 'stream', isResumable: true, maxAttempts: 2 }],
  ['an idempotent request', { kind: 'idempotent', maxAttempts: 2 }],
  ['a request that may run once', { kind: 'nonIdempotent', maxAttempts: 1 }],
];

const drops: readonly [string, (socket: Socket) => void][] = [
  ['closes', (socket) => socket.destroy()],
  ['resets', (socket) => socket.resetAndDestroy()],
];

const cases = kinds.flatMap(([kind, route]) => (
  drops.map(([verb, drop]) => [kind, verb, route, drop] as const)));

describe('a request that takes an open connection to a server', () => {
  let rig: RelayRig;

  let caller: RawCaller;

  afterEach(async () => {
    vi.restoreAllMocks();
    caller.close();
    await rig.close();
  });

  /** Answers one request; returns the server's connections, of which one is open then. */
  const openConnections = async (route: Partial<Route>): Promise<ReadonlySet<Socket>> => {
    const sockets = new Set<Socket>();
    rig = await RelayRig.start(makeRouting({ routes: [makeRoute(route)] }), [(socket) => {
      sockets.add(socket);
      socket.write(ANSWER);
    }]);
    caller = await RawCaller.open(`127.0.0.1:${rig.port}`);
    expect(await caller.send(REQUEST)).toMatchObject({ answer: { status: 200 } });
    return sockets;
  };

  // Fault: the end of the dropped socket was attributed to the socket that replaced it, so a
  // complete answer was cut off before its end or replaced by a failure.
  it.each(cases)('should get its complete answer and run once: %s, the server %s the connection', async (kind, verb, route, drop) => {
    const sockets = await openConnections(route);
    // The entry reads the request first and the end of its connection to the server after it.
    const asked = caller.send(REQUEST);
    sockets.forEach(drop);
    expect(await asked).toMatchObject({ answer: { status: 200 } });
    expect([rig.received.length, sockets.size]).toEqual([2, 2]);
  });

  // Fault: the operating system had refused the first byte, and the request counted as sent.
  it.each(kinds)('should be sent over a new one if it was reset before the first write: %s', async (kind, route) => {
    const sockets = await openConnections(route);
    const { acquire } = WorkerConnections.prototype;
    // The reset comes after the HTTP client has looked for input, and right before it writes.
    vi.spyOn(WorkerConnections.prototype, 'acquire').mockImplementationOnce(function acquireAndReset(this: WorkerConnections, address) {
      const connection = acquire.call(this, address);
      const dispatch = connection.client.dispatch.bind(connection.client);
      vi.spyOn(connection.client, 'dispatch').mockImplementationOnce((...request) => {
        setImmediate(() => sockets.forEach((socket) => socket.resetAndDestroy()));
        return dispatch(...request);
      });
      return connection;
    });
    expect(await caller.send(REQUEST)).toMatchObject({ answer: { status: 200 } });
    expect([rig.received.length, sockets.size]).toEqual([2, 2]);
  });
});

describe('a connection to a server', () => {
  const connections = new WorkerConnections();

  let call: UpstreamCall;

  let server: ScriptedServer;

  const sendTo = async (address: string, body = Buffer.alloc(0)): Promise<UpstreamOutcome> => {
    const connection = connections.acquire(address);
    call = new UpstreamCall(connection, {
      isAbandoned: () => false, onHead: () => true, onData: () => true,
    });
    const outcome = await call.run({
      method: 'POST', path: '/', headers: ['host', 'x'], body,
    });
    connections.release(connection);
    return outcome;
  };

  const startServer = async (answer: string): Promise<Set<Socket>> => {
    const sockets = new Set<Socket>();
    server = new ScriptedServer((socket) => {
      sockets.add(socket);
      socket.write(answer);
    });
    await server.listen();
    return sockets;
  };

  afterEach(() => {
    connections.close();
    server.close();
  });

  // Fault: the complete answer to a request that took the connection before its socket had closed
  // was taken for an incomplete one.
  it('should not affect the next answer after one that announced its end', async () => {
    await startServer(ANSWER.replace('\r\n', '\r\nconnection: close\r\n'));
    const outcomes = [await sendTo(server.address), await sendTo(server.address)];
    expect(outcomes).toEqual([{ kind: 'complete' }, { kind: 'complete' }]);
    expect(call.summarize()).toEqual({
      isSent: true, hasAnswerEnd: true, framing: 'chunked', requestCount: 2, socketCount: 2,
    });
  });

  // Each further attempt would cost a request up to the time limit of a connection.
  it.each(drops)('should be opened once more if the server is down and %s it', async (verb, drop) => {
    const sockets = await startServer(ANSWER);
    expect(await sendTo(server.address)).toEqual({ kind: 'complete' });
    const { address } = server;
    // The connection is chosen before the event loop reads that it has ended.
    await endTurn();
    sockets.forEach(drop);
    server.close();
    expect(await sendTo(address)).toMatchObject({ kind: 'unsent' });
    expect(call.summarize()).toEqual({
      isSent: false, hasAnswerEnd: false, requestCount: 2, socketCount: 2,
    });
  });

  // Guards against a request that may have run and counts as not sent.
  it('should count a request as sent if the server resets it after a part of its body', async () => {
    server = new ScriptedServer((socket, request, count) => {
      if (count === 1) socket.write(ANSWER);
      else socket.resetAndDestroy();
    });
    await server.listen();
    expect(await sendTo(server.address)).toEqual({ kind: 'complete' });
    expect(await sendTo(server.address, Buffer.alloc(LARGE_BODY_BYTES))).toMatchObject({ kind: 'broken' });
    expect(call.isSent).toBe(true);
  });
});
