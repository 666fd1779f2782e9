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
/** More than the buffers of a connection hold while the caller does not read. */
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

  // A caller that had connected and sent nothing delayed the shutdown until it disconnected.
  it('should not wait for a connection that has sent nothing', async () => {
    const socket = await open();
    const startedAt = performance.now();
    const closed = app.close();
    setTimeout(() => socket.destroy(), 2 * CLOSE_LIMIT_MS);
    await closed;
    expect(performance.now() - startedAt).toBeLessThan(CLOSE_LIMIT_MS);
  });

  // A connection whose response had ended counted as idle although part of it was not written yet.
  it('should write responses completely to a slow reader', async () => {
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
