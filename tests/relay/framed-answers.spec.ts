import type { Socket } from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';
import {
  afterEach, describe, expect, it,
} from 'vitest';
import { RawCaller } from '../fakes/rawCaller';
import { RelayRig } from '../fakes/relayRig';
import { makeRoute, makeRouting } from '../fakes/routings';

const REQUEST = { id: 'r1', path: '/orders/7', headers: { 'x-key': 'k1' } };
const PATIENCE_MS = 500;
const STEP_MS = 20;
const FAILURE = '{"error":"x"}';
const EVENT = 'id: 1\ndata: a\n\n';
const CHUNKED_HEAD = 'HTTP/1.1 200 X\r\nx-id: r1\r\ntransfer-encoding: chunked\r\n\r\n';

const makeChunk = (text: string): string => `${text.length.toString(16)}\r\n${text}\r\n`;

const makeSized = (status: number, body: string): string => (
  `HTTP/1.1 ${status} X\r\nx-id: r1\r\ncontent-length: ${body.length}\r\n\r\n${body}`);

const cases: readonly [string, string, string][] = [
  ['its last event has no end', `${CHUNKED_HEAD}${makeChunk(EVENT)}${makeChunk('data: b')}0\r\n\r\n`, `${EVENT}data: b`],
  ['its lines end with CR and LF', `${CHUNKED_HEAD}${makeChunk('id: 1\r\ndata: a\r\n\r\n')}0\r\n\r\n`, 'id: 1\r\ndata: a\r\n\r\n'],
  ['it has a length and no events', makeSized(200, '{"a":1}'), '{"a":1}'],
  ['it is a failure of the server', makeSized(400, '{"error":"a"}'), '{"error":"a"}'],
];

describe('a complete answer on a route whose streams may be resumed', () => {
  let rig: RelayRig;

  let caller: RawCaller;

  afterEach(async () => {
    caller.close();
    await rig.close();
  });

  // Fault: the bytes after the last complete event were discarded at the end of the answer. If it
  // had a length, its caller waited for them without end.
  it.each(cases)('should be passed on whole: %s', async (name, answer, body) => {
    const routing = makeRouting({ routes: [makeRoute({ kind: 'stream', isResumable: true })] });
    rig = await RelayRig.start(routing, [(socket) => socket.write(answer)]);
    caller = await RawCaller.open(`127.0.0.1:${rig.port}`);
    const giveUp = setTimeout(() => caller.close(), PATIENCE_MS);
    const result = await caller.send(REQUEST);
    clearTimeout(giveUp);
    expect(result).toMatchObject({ answer: { body } });
  });
});

const broken = [
  ['a failure', makeSized(404, FAILURE).slice(0, -1)],
  ['events without ids', `${CHUNKED_HEAD}${makeChunk('data: a\n\n')}${makeChunk('data: b\n\n')}`],
  ['a block that is too large for an event', `${CHUNKED_HEAD}${makeChunk('x'.repeat(1_100_000))}`],
] as const;

describe('an answer that breaks off where no other server can continue it', () => {
  let rig: RelayRig;

  afterEach(() => rig.close());

  // Fault: the answer of another server was appended to it from the start.
  it.each(broken)('should be cut off: %s', async (name, bytes) => {
    const serve = async (socket: Socket): Promise<void> => {
      socket.write(bytes);
      await pause(STEP_MS);
      socket.destroy();
    };
    rig = await RelayRig.start(
      makeRouting({ routes: [makeRoute({ kind: 'stream', isResumable: true })] }),
      [serve, serve],
    );
    await rig.send('GET /orders/7 HTTP/1.1\r\nHost: shop.example\r\nx-id: r1\r\nx-key: k1\r\n\r\n');
    expect(rig.received).toHaveLength(1);
  });
});
