import { once } from 'node:events';
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import {
  afterEach, describe, expect, it,
} from 'vitest';
import { UpstreamCall } from '../../src/relay/upstreamCall';
import type { UpstreamOutcome } from '../../src/relay/upstreamCall';
import { WorkerConnections } from '../../src/relay/workerConnections';
import { ScriptedServer, sendAnswer } from '../fakes/scriptedServer';

const REQUEST = {
  method: 'GET', path: '/', headers: ['host', 'x'], body: Buffer.alloc(0),
};

const drops: readonly [string, (socket: Socket) => void][] = [
  ['closed', (socket) => socket.destroy()],
  ['reset', (socket) => socket.resetAndDestroy()],
];

describe('a request that is sent by a busy process', () => {
  const connections = new WorkerConnections();

  const sockets = new Set<Socket>();

  const server = new ScriptedServer((socket) => {
    sockets.add(socket);
    sendAnswer(socket, 'r1', 'a');
  });

  afterEach(() => {
    connections.close();
    server.close();
  });

  const callServer = async (): Promise<UpstreamOutcome> => {
    const connection = connections.acquire(server.address);
    const call = new UpstreamCall(connection, {
      isAbandoned: () => false, onHead: () => true, onData: () => true,
    });
    const outcome = await call.run(REQUEST);
    connections.release(connection);
    return outcome;
  };

  // Fault: if the connection was dropped while the entry handled other input, the request was
  // written to it, so one that may run once failed although its server accepts connections.
  it.each(drops)('should be complete if its idle connection was %s meanwhile', async (verb, drop) => {
    sockets.clear();
    await server.listen();
    expect(await callServer()).toEqual({ kind: 'complete' });
    const idle = [...sockets];
    // Like a request of a caller, the next one is sent while input is handled.
    const input = connect({ host: '127.0.0.1', port: Number(server.address.split(':')[1]) });
    input.write('x');
    const outcome = new Promise<UpstreamOutcome>((resolve, reject) => {
      input.once('data', () => {
        idle.forEach(drop);
        callServer().then(resolve, reject);
      });
    });
    await once(input, 'data');
    expect(await outcome).toEqual({ kind: 'complete' });
    input.destroy();
  });
});
