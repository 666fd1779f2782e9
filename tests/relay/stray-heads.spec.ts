import type { Socket } from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';
import {
  afterEach, describe, expect, it,
} from 'vitest';
import type { Route } from '../../src/manifest/routing';
import { parseAnswer } from '../fakes/parseAnswer';
import { RelayRig } from '../fakes/relayRig';
import { makeRoute, makeRouting } from '../fakes/routings';
import { sendAnswer } from '../fakes/scriptedServer';

const IDLE_MS = 5_000;
const LATER_MS = 10;
const STRAY = 'HTTP/1.1 200 X\r\nx-id: r1\r\ncontent-length: 4\r\n\r\nsame';

const kinds: readonly [string, Partial<Route>][] = [
  ['a request that may run once', { kind: 'nonIdempotent', maxAttempts: 1 }],
  ['a stream that may be resumed', { kind: 'stream', isResumable: true, maxAttempts: 2 }],
];

/** When the beginning of a second answer to the first request comes. */
const moments = ['with the first answer', 'while the connection is idle', 'behind the next request'] as const;

const runs = kinds.flatMap(([kind, route]) => (
  moments.map((moment) => [kind, moment, route] as const)));

const makeRequest = (id: string): string => (
  `GET /orders/7 HTTP/1.1\r\nHost: shop.example\r\nx-id: ${id}\r\nx-key: k1\r\nconnection: close\r\n\r\n`);

describe('a second answer to an earlier request, cut off at any byte', () => {
  const rigs: RelayRig[] = [];

  afterEach(async () => {
    await Promise.all(rigs.map((rig) => rig.close()));
    rigs.length = 0;
  });

  /** Sends two requests over one connection to the server; returns the answer to the second. */
  const sendBoth = async (
    route: Partial<Route>,
    moment: typeof moments[number],
    cut: number,
  ): Promise<string> => {
    const stray = STRAY.slice(0, cut);
    const answerFirst: Readonly<Record<typeof moment, (socket: Socket) => void>> = {
      'with the first answer': (socket) => socket.write(`${STRAY}${stray}`),
      'while the connection is idle': (socket) => {
        socket.write(STRAY);
        setTimeout(() => socket.write(stray), LATER_MS);
      },
      'behind the next request': (socket) => socket.write(STRAY),
    };
    const rig = await RelayRig.start(makeRouting({ routes: [makeRoute(route)] }), [
      (socket, request) => {
        if (request.includes('x-id: r1')) answerFirst[moment](socket);
        else if (moment === 'behind the next request') socket.end(stray);
        else sendAnswer(socket, 'r2', 'the next');
      },
    ]);
    rigs.push(rig);
    await rig.send(makeRequest('r1'), IDLE_MS);
    await pause(2 * LATER_MS);
    return rig.send(makeRequest('r2'), IDLE_MS);
  };

  // Guards against an answer that is taken for that of the next request on its connection.
  it.each(runs)('should not become the next answer: %s, %s', async (kind, moment, route) => {
    const cuts = Array.from({ length: STRAY.length + 1 }, (unused, cut) => cut);
    const texts = await Promise.all(cuts.map((cut) => sendBoth(route, moment, cut)));
    const statuses = texts.map((text) => {
      const whole = parseAnswer(Buffer.from(text, 'latin1'));
      return whole?.answer.status === 200 ? whole.answer.body : 'failed';
    });
    const expected = moment === 'behind the next request' ? 'failed' : 'the next';
    expect(statuses.filter((status) => status !== expected)).toEqual([]);
  });
});
