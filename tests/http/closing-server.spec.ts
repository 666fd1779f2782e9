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
    app.get('/short', async () => 'done');
    app.post('/short', async () => 'done');
    app.get('/slow', async () => pause(CLOSE_LIMIT_MS, 'done'));
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

  // Fault: a part of a request whose rest did not come held the process until it was killed at the
  // end of its grace period.
  it.each<[string, string]>([
    ['a head', 'GET /short HTTP/1.1\r\nho'],
    ['a body', 'POST /short HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\n{'],
    ['a second head', 'GET /short HTTP/1.1\r\nhost: a\r\n\r\nGET /short HTTP/1.1\r\nho'],
  ])('should not wait long for the rest of %s', async (part, text) => {
    const socket = await open();
    socket.on('error', () => undefined);
    socket.write(text);
    await pause(CLOSE_LIMIT_MS / 4);
    const startedAt = performance.now();
    const closed = app.close();
    setTimeout(() => socket.destroy(), 2 * CLOSE_LIMIT_MS);
    await closed;
    expect(performance.now() - startedAt).toBeLessThan(CLOSE_LIMIT_MS);
  });

  // What cuts off incomplete requests must not cut off an answer that takes longer.
  it('should answer complete requests', async () => {
    const socket = await open();
    let text = '';
    socket.on('data', (chunk: Buffer) => {
      text += chunk.toString();
    });
    socket.write('GET /slow HTTP/1.1\r\nhost: a\r\n\r\n');
    await pause(CLOSE_LIMIT_MS / 4);
    await Promise.all([app.close(), once(socket, 'close')]);
    expect(text).toMatch(/^HTTP\/1.1 200 [^]*done$/);
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
