import type { Socket } from 'node:net';
import { setImmediate as endTurn } from 'node:timers/promises';
import {
  afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import { OrderSender } from '../../src/entry/choosing/orderSender';
import { EngineClient } from '../../src/entry/sending/engineClient';
import type { EngineEvent } from '../../src/entry/sending/engineClient';
import { makeLogger } from '../../src/telemetry/logger';
import { Metrics } from '../../src/telemetry/metrics';
import { ScriptedServer } from '../fakes/scriptedServer';

const EVENTS = 'id: 0\ndata: a\n\ndata: [DONE]\n\n';
const ANSWER = `HTTP/1.1 200 X\r\ncontent-length: ${EVENTS.length}\r\n\r\n${EVENTS}`;
const STREAM = [
  { done: false, value: { offset: 0, data: 'a' } },
  { done: true, value: undefined },
];
const IDLE_TIMEOUT_MS = 1_000;

const drops: readonly [string, (socket: Socket) => void][] = [
  ['closes', (socket) => socket.destroy()],
  ['resets', (socket) => socket.resetAndDestroy()],
];

describe('a backend server that drops an idle connection', () => {
  const sockets = new Set<Socket>();

  let server: ScriptedServer;

  beforeEach(async () => {
    server = new ScriptedServer((socket) => {
      sockets.add(socket);
      socket.write(ANSWER);
    });
    await server.listen();
  });

  afterEach(() => {
    sockets.clear();
    server.close();
  });

  /** Drops all connections; the client chooses one before it reads that it has ended. */
  const dropConnections = async (drop: (socket: Socket) => void): Promise<void> => {
    await endTurn();
    sockets.forEach(drop);
  };

  // Fault: a request that was never sent counted as one that may run, so a stream that can't be
  // resumed failed although its server accepts connections.
  it.each(drops)('should get the next stream over a new one if it %s it', async (verb, drop) => {
    const engines = new EngineClient();
    const runStream = async (streamId: string): Promise<IteratorResult<EngineEvent>[]> => {
      const events = await engines.dispatch({
        address: server.address, streamId, path: '/v1/completions', body: '{}', headers: {}, signal: new AbortController().signal,
      }, IDLE_TIMEOUT_MS);
      return [await events.next(), await events.next()];
    };
    expect(await runStream('s1')).toEqual(STREAM);
    await dropConnections(drop);
    expect(await runStream('s2')).toEqual(STREAM);
    expect([server.requests.length, sockets.size]).toEqual([2, 2]);
    await engines.close();
  });

  // Fault: an order that was never sent failed and was sent again only after five seconds.
  it.each(drops)('should get the next order over a new one if it %s it', async (verb, drop) => {
    const orders = new OrderSender(new Metrics(), makeLogger('test', 'silent'));
    const desired = { digest: 'd1', models: [] } as never;
    expect(await orders.send(server.address, desired, 1)).toBe('taken');
    await dropConnections(drop);
    expect(await orders.send(server.address, desired, 2)).toBe('taken');
    expect(server.requests).toHaveLength(2);
  });
});
