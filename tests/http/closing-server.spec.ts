import { once } from 'node:events';
import { connect } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';
import type { FastifyInstance } from 'fastify';
import {
  beforeEach, describe, expect, it,
} from 'vitest';
import { makeHttpServer } from '../../src/http/httpServer';

const CLOSE_LIMIT_MS = 1_000;
/** More than is on its way at once to a caller that does not read. */
const LARGE_ANSWER_BYTES = 16_000_000;

describe('a server that closes', () => {
  let app: FastifyInstance;

  const open = async (): Promise<Socket> => {
    const accepted = once(app.server, 'connection');
    const socket = connect((app.server.address() as AddressInfo).port, '127.0.0.1');
    await accepted;
    return socket;
  };

  beforeEach(async () => {
    app = makeHttpServer();
    app.get('/long', async () => Buffer.alloc(LARGE_ANSWER_BYTES));
    await app.listen({ host: '127.0.0.1', port: 0 });
  });

  // A caller that had connected and sent nothing held the end of the process up, until it left.
  it('should not wait for a connection that has brought nothing', async () => {
    const socket = await open();
    const startedAt = performance.now();
    const closed = app.close();
    setTimeout(() => socket.destroy(), 2 * CLOSE_LIMIT_MS);
    await closed;
    expect(performance.now() - startedAt).toBeLessThan(CLOSE_LIMIT_MS);
  });

  // A connection whose answer was ended counted as idle, though bytes of it still waited.
  it('should write the answers to the end that wait for a slow reader', async () => {
    const socket = await open();
    socket.write('GET /long HTTP/1.1\r\nhost: a\r\n\r\n');
    await pause(CLOSE_LIMIT_MS / 4);
    const closed = app.close();
    await pause(CLOSE_LIMIT_MS / 4);
    let bytes = 0;
    socket.on('error', () => undefined);
    socket.on('data', (chunk: Buffer) => {
      bytes += chunk.length;
    });
    await once(socket, 'close');
    await closed;
    expect(bytes).toBeGreaterThan(LARGE_ANSWER_BYTES);
  });
});
