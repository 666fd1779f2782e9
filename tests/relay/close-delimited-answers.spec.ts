import { Socket } from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';
import {
  afterEach, describe, expect, it,
} from 'vitest';
import type { Route } from '../../src/manifest/routing';
import { RelayRig } from '../fakes/relayRig';
import { makeRoute, makeRouting } from '../fakes/routings';
import type { ServerScript } from '../fakes/scriptedServer';

const REQUEST = 'GET /orders/7 HTTP/1.0\r\nHost: shop.example\r\nx-id: r1\r\nx-key: k1\r\n\r\n';
const PLAIN_HEAD = 'HTTP/1.1 200 X\r\nx-id: r1\r\nconnection: close\r\n\r\n';
const CHUNKED_HEAD = 'HTTP/1.1 200 X\r\nx-id: r1\r\ntransfer-encoding: chunked\r\n\r\n';
const EVENT = 'data: all\n\n';
const TEXT_HEAD = 'HTTP/1.1 200 X\r\nx-id: r1\r\ncontent-type: text/plain\r\nconnection: close\r\n\r\n';
const STEP_MS = 30;

const stream: Partial<Route> = { kind: 'stream', isResumable: false, maxAttempts: 1 };

/** What a caller received, and how its connection ended. */
interface Received {
  readonly body: string;
  readonly end: 'closed' | 'reset';
}

describe('an answer whose length an HTTP/1.0 caller can only learn from the end of its connection', () => {
  let rig: RelayRig;

  afterEach(() => rig.close());

  const readAnswer = (): Promise<Received> => new Promise((resolve) => {
    const socket = new Socket();
    let text = '';
    let end: Received['end'] = 'closed';
    socket.on('data', (chunk) => {
      text += chunk.toString('latin1');
    });
    socket.on('error', () => {
      end = 'reset';
    });
    socket.on('close', () => resolve({ body: text.slice(text.indexOf('\r\n\r\n') + 4), end }));
    socket.connect(rig.port, '127.0.0.1', () => socket.write(REQUEST));
  });

  const serve = async (script: ServerScript): Promise<Received> => {
    rig = await RelayRig.start(makeRouting({ routes: [makeRoute(stream)] }), [script]);
    return readAnswer();
  };

  it.each([
    ['without a length', `${PLAIN_HEAD}${EVENT}`],
    ['in chunks', `${CHUNKED_HEAD}${EVENT.length.toString(16)}\r\n${EVENT}\r\n0\r\n\r\n`],
  ])('should end with its connection: the server answers %s', async (name, answer) => {
    expect(await serve((socket) => socket.end(answer))).toEqual({ body: EVENT, end: 'closed' });
  });

  // Guards against an answer without events that is taken for a part of one.
  it.each([
    ['without a length, as text', `${TEXT_HEAD}all`],
    ['in chunks', `${CHUNKED_HEAD}3\r\nall\r\n0\r\n\r\n`],
  ])('should end with its connection if it has no events: the server answers %s', async (name, answer) => {
    expect(await serve((socket) => socket.end(answer))).toEqual({ body: 'all', end: 'closed' });
  });

  // Fault: the connection of an answer that its server had sent in chunks and broken off was closed
  // normally, so the part looked complete.
  it.each([
    ['without a length', `${PLAIN_HEAD}part`],
    ['in chunks', `${CHUNKED_HEAD}4\r\npart\r\n`],
  ])('should end with a reset if its server breaks off: the server answers %s', async (name, part) => {
    const { end } = await serve(async (socket) => {
      socket.write(part);
      await pause(STEP_MS);
      socket.resetAndDestroy();
    });
    expect(end).toBe('reset');
  });
});
