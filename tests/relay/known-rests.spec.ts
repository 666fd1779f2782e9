import type { Socket } from 'node:net';
import {
  afterEach, describe, expect, it,
} from 'vitest';
import { RawCaller } from '../fakes/rawCaller';
import { RelayRig } from '../fakes/relayRig';
import { makeRoute, makeRouting } from '../fakes/routings';

const EVENT = 'id: 1\ndata: a\n\n';
const WITHIN_EVENT = `${EVENT}id: 2\nda`;
const REST = 'id: 2\ndata: b\n\n';
const HEAD = 'HTTP/1.1 200 X\r\nx-id: r1\r\ncontent-type: text/event-stream\r\n';
const STEP_MS = 20;

const makeChunk = (text: string): string => `${text.length.toString(16)}\r\n${text}\r\n`;

/** Answers whose server has begun more than it has sent, as it breaks off. */
const parts: readonly [string, string][] = [
  ['within an event', `${HEAD}transfer-encoding: chunked\r\n\r\n${makeChunk(WITHIN_EVENT)}`],
  ['in front of bytes that its length counts', `${HEAD}content-length: ${EVENT.length + REST.length}\r\n\r\n${EVENT}`],
];

const rests: readonly [string, string][] = [
  ['with a length', `${HEAD}content-length: 0\r\n\r\n`],
  ['in chunks', `${HEAD}transfer-encoding: chunked\r\n\r\n0\r\n\r\n`],
  ['without a length', `${HEAD}\r\n`],
];

const cases = parts.flatMap(([place, part]) => (
  rests.map(([form, rest]) => [place, form, part, rest] as const)));

describe('a stream whose first server broke off', () => {
  let rig: RelayRig;

  let caller: RawCaller;

  afterEach(async () => {
    caller.close();
    await rig.close();
  });

  /** Sends a request; the first server that gets it breaks off behind a part. */
  const ask = async (part: string, rest: string): Promise<string | undefined> => {
    let count = 0;
    const serve = (socket: Socket): void => {
      count += 1;
      socket.write(count === 1 ? part : rest);
      const isClosing = count > 1 && !/content-length|chunked/.test(rest);
      if (count === 1) setTimeout(() => socket.destroy(), STEP_MS);
      if (isClosing) setTimeout(() => socket.end(), STEP_MS);
    };
    const route = makeRoute({ kind: 'stream', isResumable: true, maxAttempts: 2 });
    rig = await RelayRig.start(makeRouting({ routes: [route] }), [serve, serve]);
    caller = await RawCaller.open(`127.0.0.1:${rig.port}`);
    const { answer } = await caller.send({ id: 'r1', path: '/orders/7', headers: { 'x-key': 'k1' } });
    return answer?.body;
  };

  // Fault: the second server says that nothing follows, although the first one had begun more; the
  // form of its answer was believed, and the stream ended as complete.
  it.each(cases)('should not look complete if it broke off %s, and the second server has no event: %s', async (place, form, part, rest) => {
    expect(await ask(part, rest)).toBeUndefined();
  });

  // Guards against streams that are cut off although the second server has the rest.
  it.each(parts)('should be whole if it broke off %s, and the second server has the rest', async (place, part) => {
    expect(await ask(part, `${HEAD}content-length: ${REST.length}\r\n\r\n${REST}`)).toBe(EVENT + REST);
  });

  // Guards against a stream that is cut off although only its end was missing.
  it.each(rests)('should be whole if only its end was missing, and the second server has no event: %s', async (form, rest) => {
    expect(await ask(`${HEAD}transfer-encoding: chunked\r\n\r\n${makeChunk(EVENT)}`, rest)).toBe(EVENT);
  });
});
