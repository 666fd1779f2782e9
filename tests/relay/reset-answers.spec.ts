import type { Socket } from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';
import {
  afterEach, describe, expect, it,
} from 'vitest';
import type { Route } from '../../src/manifest/routing';
import { RelayRig } from '../fakes/relayRig';
import { makeRoute, makeRouting } from '../fakes/routings';
import { sendAnswer } from '../fakes/scriptedServer';

const REQUEST = 'GET /orders/7 HTTP/1.1\r\nHost: shop.example\r\nx-id: r1\r\nx-key: k1\r\n\r\n';
const HEAD = 'HTTP/1.1 200 X\r\nx-id: r1\r\n\r\n';
const PART = 'id: 1\ndata: a\n\n';
const STEP_MS = 20;

const kinds: readonly [string, Partial<Route>][] = [
  ['a stream that may run once', { kind: 'stream', isResumable: false, maxAttempts: 1 }],
  ['a stream that may be resumed', { kind: 'stream', isResumable: true, maxAttempts: 2 }],
  ['an idempotent request', { kind: 'idempotent', maxAttempts: 2 }],
  ['a request that may run once', { kind: 'nonIdempotent', maxAttempts: 1 }],
];

const resets: readonly [string, (socket: Socket) => void][] = [
  ['with its first bytes', (socket) => {
    socket.write(HEAD + PART);
    socket.resetAndDestroy();
  }],
  ['with later bytes', (socket) => {
    socket.write(HEAD + PART);
    setTimeout(() => {
      socket.write(PART);
      socket.resetAndDestroy();
    }, STEP_MS);
  }],
  ['behind its bytes', (socket) => {
    socket.write(HEAD + PART);
    setTimeout(() => socket.resetAndDestroy(), STEP_MS);
  }],
];

const cases = kinds.flatMap(([kind, route]) => (
  resets.map(([moment, reset]) => [kind, moment, route, reset] as const)));

describe('an answer without a length whose connection is reset', () => {
  let rig: RelayRig;

  afterEach(() => rig.close());

  /** Counts the answers that were cut off or refused: a caller may not tell a reset from an end. */
  const countFailures = async (): Promise<number> => {
    await rig.send(REQUEST);
    const { abortedAnswers, refusals } = rig.metrics;
    const found = await Promise.all([abortedAnswers.get(), refusals.get()]);
    return found.flatMap(({ values }) => values).reduce((sum, { value }) => sum + value, 0);
  };

  // Fault: the end of the connection was reported as a normal one if a reset and the bytes in front
  // of it were read in the same turn, so a part of an answer was passed on as complete.
  it.each(cases)('should be cut off or replaced by a failure: %s, reset %s', async (kind, moment, route, reset) => {
    rig = await RelayRig.start(makeRouting({ routes: [makeRoute(route)] }), [reset]);
    expect(await countFailures()).toBe(1);
  });

  // Guards against something that asks for the peer of a connection between two answers: Node.js
  // keeps the first reply to that, and each later reset would look like a normal end.
  it.each(resets)('should be cut off on a connection that was used before: reset %s', async (moment, reset) => {
    const sockets: Socket[] = [];
    rig = await RelayRig.start(
      makeRouting({ routes: [makeRoute({ kind: 'stream', isResumable: false, maxAttempts: 1 })] }),
      [(socket) => {
        sockets.push(socket);
        if (sockets.length === 1) sendAnswer(socket, 'r1', PART);
        else reset(socket);
      }],
    );
    await rig.send(REQUEST);
    expect([await countFailures(), sockets.length, sockets[0] === sockets[1]])
      .toEqual([1, 2, true]);
  });

  // Guards against a normal end that is taken for a reset.
  it.each(kinds)('should be complete if its connection is only closed: %s', async (kind, route) => {
    rig = await RelayRig.start(makeRouting({ routes: [makeRoute(route)] }), [async (socket) => {
      socket.write(HEAD);
      await pause(STEP_MS);
      socket.end(PART);
    }]);
    expect(await countFailures()).toBe(0);
  });
});
