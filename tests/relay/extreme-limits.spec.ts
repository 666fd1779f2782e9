import { setTimeout as pause } from 'node:timers/promises';
import {
  afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import type { Route } from '../../src/manifest/routing';
import { RawCaller } from '../fakes/rawCaller';
import { RelayRig } from '../fakes/relayRig';
import { makeRoute, makeRouting } from '../fakes/routings';
import { sendAnswer } from '../fakes/scriptedServer';
import type { ServerScript } from '../fakes/scriptedServer';

const REQUEST = { id: 'r1', path: '/orders/7', headers: { 'x-key': 'k1', 'x-patience': 1e300 } };
const ANSWER_MS = 100;
/** Longer than a timer of Node.js accepts. */
const TOO_LONG_MS = 2 ** 32;

const answerLater: ServerScript = (socket) => {
  setTimeout(() => sendAnswer(socket, 'r1', 'fine'), ANSWER_MS);
};

/** Errors that would have ended the process. */
const uncaught: Error[] = [];
const addUncaught = (error: Error): void => {
  uncaught.push(error);
};

describe('an entry whose document has extreme limits', () => {
  let rig: RelayRig;

  let caller: RawCaller;

  let former: NodeJS.UncaughtExceptionListener[] = [];

  beforeEach(() => {
    uncaught.length = 0;
    former = process.listeners('uncaughtException');
    process.removeAllListeners('uncaughtException');
    process.on('uncaughtException', addUncaught);
  });

  afterEach(async () => {
    caller.close();
    await rig.close();
    process.removeAllListeners('uncaughtException');
    former.forEach((listener) => process.on('uncaughtException', listener));
  });

  // Fault: a duration that a timer does not accept counted as 1 ms, so each request was answered
  // with 504 at once, or run a second time.
  it.each<[string, Partial<Route>]>([
    ['a long time limit', { timeoutMs: TOO_LONG_MS }],
    ['an endless time limit', { timeoutMs: 1e300 }],
    ['a long target latency', { targetLatencyMs: TOO_LONG_MS }],
  ])('should run a request once and answer it: %s', async (name, route) => {
    const routing = makeRouting({ routes: [makeRoute(route)] });
    rig = await RelayRig.start(routing, [answerLater, answerLater]);
    caller = await RawCaller.open(`127.0.0.1:${rig.port}`);
    expect(await caller.send(REQUEST)).toMatchObject({ answer: { status: 200, body: 'fine' } });
    expect(rig.received).toHaveLength(1);
  });

  // Fault: the end of the first answer crashed the process, and all callers lost their connections.
  it.each([-5_000, 1e300, Infinity])('should keep running with an idle limit of %s ms', async (idleTimeoutMs) => {
    const routing = makeRouting({});
    const limits = { ...routing.limits, idleTimeoutMs };
    rig = await RelayRig.start({ ...routing, limits }, [answerLater]);
    caller = await RawCaller.open(`127.0.0.1:${rig.port}`);
    expect(await caller.send(REQUEST)).toMatchObject({ answer: { status: 200, body: 'fine' } });
    await pause(ANSWER_MS);
    expect(uncaught).toEqual([]);
  });
});
