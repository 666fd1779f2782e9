import type { Socket } from 'node:net';
import { setImmediate as endTurn, setTimeout as pause } from 'node:timers/promises';
import {
  afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import { UpstreamCall } from '../../src/relay/upstreamCall';
import { WorkerConnections } from '../../src/relay/workerConnections';
import { ScriptedServer } from '../fakes/scriptedServer';

const WHOLE = 'HTTP/1.1 200 X\r\nx-id: r1\r\ncontent-length: 1\r\n\r\na';
const HALF = 'HTTP/1.1 200 X\r\nx-id: r1\r\n\r\nhalf of it';
const REQUEST = {
  method: 'GET', path: '/', headers: ['host', 'x'], body: Buffer.alloc(0),
};
const RESET_MS = 20;
const SETTLE_MS = 50;

const drops: readonly [string, (socket: Socket) => void][] = [
  ['closes', (socket) => socket.destroy()],
  ['resets', (socket) => socket.resetAndDestroy()],
];
const turns = [0, 1, 2, 3, 4];

describe('a connection that is opened again', () => {
  const sockets = new Set<Socket>();

  let connections: WorkerConnections;

  let server: ScriptedServer;

  const prepareCall = (): UpstreamCall => (
    new UpstreamCall(connections.acquire(server.address), {
      isAbandoned: () => false, onHead: () => true, onData: () => true,
    }));

  /** Uses a connection once and returns it, and drops it before the client reads that. */
  const dropIdleConnection = async (drop: (socket: Socket) => void): Promise<void> => {
    const connection = connections.acquire(server.address);
    await new UpstreamCall(connection, {
      isAbandoned: () => false, onHead: () => true, onData: () => true,
    }).run(REQUEST);
    connections.release(connection);
    await endTurn();
    sockets.forEach(drop);
  };

  beforeEach(async () => {
    sockets.clear();
    connections = new WorkerConnections();
    server = new ScriptedServer((socket, request, count) => {
      sockets.add(socket);
      socket.write(count === 1 ? WHOLE : HALF);
      if (count > 1) setTimeout(() => socket.resetAndDestroy(), RESET_MS);
    });
    await server.listen();
  });

  afterEach(() => {
    connections.close();
    server.close();
  });

  // Half an answer would look complete if only the first socket of a connection were watched.
  it.each(drops)('should not treat a reset as the end of an answer after the server %s it', async (verb, drop) => {
    await dropIdleConnection(drop);
    const call = prepareCall();
    expect(await call.run(REQUEST)).toMatchObject({ kind: 'broken' });
    expect([call.summarize().socketCount, server.requests.length]).toEqual([2, 2]);
  });

  // A request whose caller has left or whose time is over would run in vain.
  it.each(drops.flatMap(([verb, drop]) => turns.map((count) => [verb, count, drop] as const)))('should not send a request that is aborted after the server %s it and %i turns', async (verb, count, drop) => {
    await dropIdleConnection(drop);
    const call = prepareCall();
    const outcome = call.run(REQUEST);
    await turns.slice(0, count).reduce((before) => before.then(() => endTurn()), Promise.resolve());
    const { isSent } = call;
    call.abort('the caller disconnected');
    expect(await outcome).toEqual({ kind: isSent ? 'broken' : 'unsent', reason: 'the caller disconnected' });
    await pause(SETTLE_MS);
    expect(server.requests.length).toBeLessThanOrEqual(isSent ? 2 : 1);
  });
});
