import type { Socket } from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';
import {
  afterEach, describe, expect, it,
} from 'vitest';
import { parseAnswer } from '../fakes/parseAnswer';
import { RelayRig } from '../fakes/relayRig';
import { makeRoute, makeRouting } from '../fakes/routings';
import type { ServerScript } from '../fakes/scriptedServer';

const FIRST = 'id: 1\ndata: a\n\n';
const REST = 'id: 2\ndata: the rest\n\n';
const NEXT = 'id: 3\ndata: of the next request\n\n';
const STEP_MS = 20;
const IDLE_MS = 300;

const makeRequest = (id: string, version = '1.1'): string => (
  `GET /orders/7 HTTP/${version}\r\nHost: shop.example\r\nx-id: ${id}\r\nx-key: k1\r\n\r\n`);

const makeSized = (id: string, length: number, body: string): string => (
  `HTTP/1.1 200 X\r\nx-id: ${id}\r\ncontent-length: ${length}\r\n\r\n${body}`);

const lengths: readonly [string, number][] = [
  ['as long as both parts', FIRST.length + REST.length],
  ['longer than both parts', FIRST.length + REST.length + 100],
  ['shorter than both parts', FIRST.length + 10],
];

const parts: readonly [string, string, string][] = [
  ['behind its head', '', FIRST + REST],
  ['behind an event', FIRST, REST],
  ['inside an event', `${FIRST}id: 2`, REST],
];

const cases = lengths.flatMap(([size, length]) => (
  parts.map(([place, part, rest]) => [size, place, length, part, rest] as const)));

describe('a stream with a length that breaks off and is continued by another server', () => {
  let rig: RelayRig;

  afterEach(() => rig.close());

  const start = async (length: number, part: string, rest: string): Promise<void> => {
    const breakOff = async (socket: Socket): Promise<void> => {
      socket.write(makeSized('r1', length, part));
      await pause(STEP_MS);
      socket.destroy();
    };
    const answers = [breakOff, (socket: Socket) => socket.write(makeSized('r1', rest.length, rest))];
    const serve: ServerScript = (socket, request) => {
      if (request.includes('x-id: r1')) answers.shift()?.(socket);
      else socket.write(makeSized('r2', NEXT.length, NEXT));
    };
    rig = await RelayRig.start(makeRouting({ routes: [makeRoute({ kind: 'stream', isResumable: true })] }), [serve, serve]);
  };

  // Fault: the caller was told the length of the first server's answer. It took the next answer on
  // its connection for the rest of this one, or the rest of this one for the next answer.
  it.each(cases)('should be whole in front of the next answer: a length %s, broken off %s', async (size, place, length, part, rest) => {
    await start(length, part, rest);
    const bytes = Buffer.from(await rig.send(makeRequest('r1') + makeRequest('r2'), IDLE_MS), 'latin1');
    const first = parseAnswer(bytes);
    expect(first?.answer).toMatchObject({ status: 200, body: FIRST + REST });
    const next = parseAnswer(bytes.subarray(first?.length));
    expect(next?.answer).toMatchObject({ headers: { 'x-id': 'r2' }, body: NEXT });
  });

  // An HTTP/1.0 caller keeps the length, by which it sees that an entry was killed: the answer of
  // another server would not add up to it.
  it.each(lengths)('should be cut off at an HTTP/1.0 caller: a length %s', async (size, length) => {
    await start(length, FIRST, REST);
    const answer = await rig.send(makeRequest('r1', '1.0'), IDLE_MS);
    expect(answer).toContain(`content-length: ${length}\r\n`);
    expect([answer.split('\r\n\r\n')[1], rig.received.length]).toEqual([FIRST, 1]);
  });
});

describe('an answer on a route whose streams may be resumed', () => {
  let rig: RelayRig;

  afterEach(() => rig.close());

  const send = async (method: string, status: number): Promise<string> => {
    const route = makeRoute({ kind: 'stream', isResumable: true });
    const body = method === 'HEAD' ? '' : FIRST;
    rig = await RelayRig.start(makeRouting({ routes: [route] }), [
      (socket) => socket.write(makeSized('r1', FIRST.length, body).replace('200', String(status))),
    ]);
    return rig.send(makeRequest('r1').replace('GET', method), IDLE_MS);
  };

  // Guards against a length that is dropped where no other server can continue the answer.
  it.each([['HEAD', 200], ['GET', 404]])('should keep its length: %s with status %i', async (method, status) => {
    expect(await send(method, status)).toContain(`content-length: ${FIRST.length}\r\n`);
  });
});
