import type { Socket } from 'node:net';
import {
  afterEach, describe, expect, it,
} from 'vitest';
import type { Route } from '../../src/manifest/routing';
import { RelayRig } from '../fakes/relayRig';
import { makeRoute, makeRouting } from '../fakes/routings';

const IDLE_MS = 2_000;

const answers: readonly [string, string, string][] = [
  ['to HEAD, with a length', 'HEAD', 'HTTP/1.1 200 X\r\nx-id: ID\r\ncontent-length: 9\r\n\r\n'],
  ['to HEAD, without a length, HTTP/1.0', 'HEAD', 'HTTP/1.0 200 X\r\nx-id: ID\r\n\r\n'],
  ['without content', 'GET', 'HTTP/1.1 204 X\r\nx-id: ID\r\n\r\n'],
  ['that is not modified', 'GET', 'HTTP/1.1 304 X\r\nx-id: ID\r\ncontent-length: 9\r\nconnection: close\r\n\r\n'],
  ['without content, behind hints', 'GET', 'HTTP/1.1 103 X\r\nlink: a\r\n\r\nHTTP/1.1 204 X\r\nx-id: ID\r\n\r\n'],
];

/** Answers that end with their head, but not with a whole one. */
const faulty: readonly [string, string][] = [
  ['a length and chunks', 'HTTP/1.1 200 X\r\nx-id: ID\r\ncontent-length: 2\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n'],
  ['a size that is cut', 'HTTP/1.1 200 X\r\nx-id: ID\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n1'],
  ['a last chunk without its final line', 'HTTP/1.1 200 X\r\nx-id: ID\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n'],
  ['a length that is too long', 'HTTP/1.1 200 X\r\nx-id: ID\r\nconnection: close\r\ncontent-length: 3\r\n\r\nok'],
  ['a cut body of packed bytes', 'HTTP/1.1 200 X\r\nx-id: ID\r\ncontent-encoding: gzip\r\ncontent-length: 3\r\n\r\n\x1f\x8b'],
  ['switched protocols', 'HTTP/1.1 101 X\r\nx-id: ID\r\nupgrade: x\r\nconnection: upgrade\r\n\r\n'],
  ['no final answer', 'HTTP/1.1 103 X\r\nx-id: ID\r\nconnection: close\r\n\r\n'],
];

const kinds: readonly [string, Partial<Route>][] = [
  ['a request', { kind: 'nonIdempotent', maxAttempts: 1 }],
  ['a stream', { kind: 'stream', maxAttempts: 1 }],
];

const ends: readonly [string, (socket: Socket) => void][] = [
  ['closed', (socket) => socket.end()],
  ['reset', (socket) => socket.resetAndDestroy()],
];

const runs = kinds.flatMap(([kind, route]) => (
  ends.map(([verb, end]) => [kind, verb, route, end] as const)));

describe('an answer that consists of a head', () => {
  let rig: RelayRig;

  afterEach(() => rig.close());

  /** Sends a request whose path tells the server which answer to send, and how much of it. */
  const send = (method: string, position: number, cut: number): Promise<string> => rig.send(
    `${method} /orders/${position}-${cut} HTTP/1.1\r\nHost: shop.example\r\nx-id: r${position}-${cut}\r\nx-key: k1\r\nconnection: close\r\n\r\n`,
    IDLE_MS,
  );

  const start = async (
    texts: readonly string[],
    route: Partial<Route>,
    end: (socket: Socket) => void,
  ): Promise<void> => {
    rig = await RelayRig.start(makeRouting({ routes: [makeRoute(route)] }), [(socket, request) => {
      const [, position = '', cut = ''] = /orders\/(\d+)-(\d+)/.exec(request) ?? [];
      const part = (texts[Number(position)] ?? '').slice(0, Number(cut));
      socket.write(Buffer.from(part.replace('ID', `r${position}-${cut}`), 'latin1'));
      end(socket);
    }]);
  };

  // Guards against the beginning of a head that is taken for an answer.
  it.each(runs)('should be passed on only if it is whole: %s, %s', async (kind, verb, route, end) => {
    await start(answers.map(([, , text]) => text), route, end);
    const faults = await Promise.all(answers.map(async ([name, method, text], position) => {
      const cuts = Array.from({ length: text.length }, (unused, cut) => cut);
      const received = await cuts.reduce(async (before, cut) => (
        [...await before, await send(method, position, cut)]), Promise.resolve<string[]>([]));
      const whole = await send(method, position, text.length);
      const mustBeWhole = verb === 'closed' && !/^HTTP\/1.1 (200|204|304) /.test(whole);
      const parts = received.filter((answer) => !answer.startsWith('HTTP/1.1 502 '));
      return mustBeWhole ? [name, whole] : parts.map((part) => `${name}: ${part}`);
    }));
    expect(faults.flat()).toEqual([]);
    expect(rig.received.length).toBe(answers.reduce((sum, [, , text]) => sum + text.length + 1, 0));
  });

  // Guards against a frame that its server did not complete.
  it.each(runs)('should not be whole if its frame is faulty: %s, %s', async (kind, verb, route, end) => {
    await start(faulty.map(([, text]) => text), route, end);
    const received = await Promise.all(faulty.map(([, text], position) => (
      send('GET', position, text.length))));
    expect(received.filter((answer) => /^HTTP\/1.1 2/.test(answer) && /\r\n0\r\n\r\n$|content-length: 2\r\n/.test(answer))).toEqual([]);
    expect(rig.received).toHaveLength(faulty.length);
  });
});
