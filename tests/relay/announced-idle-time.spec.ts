import { setTimeout as pause } from 'node:timers/promises';
import {
  afterEach, describe, expect, it,
} from 'vitest';
import type { Routing } from '../../src/manifest/routing';
import { RawCaller } from '../fakes/rawCaller';
import { RelayRig } from '../fakes/relayRig';
import { makeRoute, makeRouting } from '../fakes/routings';

const REQUEST = { id: 'r1', path: '/orders/7', headers: { 'x-key': 'k1' } };
const STEP_MS = 100;
/** Longer than the low limit, and the second after it in which a connection is kept open. */
const IDLE_MS = 1_600;

const BEGIN = 'HTTP/1.1 200 X\r\nx-id: r1\r\ntransfer-encoding: chunked\r\n\r\n5\r\nbegun\r\n';
const END = '5\r\nended\r\n0\r\n\r\n';

const makeLimited = (version: bigint, idleTimeoutMs: number): Routing => {
  const routing = makeRouting({ version, routes: [makeRoute({ kind: 'stream' })] });
  return { ...routing, limits: { ...routing.limits, idleTimeoutMs } };
};

describe('a connection whose idle time is lowered during an answer', () => {
  let rig: RelayRig;

  let caller: RawCaller;

  afterEach(async () => {
    caller.close();
    await rig.close();
  });

  // Fault: the connection was closed after the new idle time, although the head of the answer had
  // announced the former one.
  it('should be kept for the time that was announced with the head of the answer', async () => {
    rig = await RelayRig.start(makeLimited(1n, 15_000), [(socket) => {
      socket.write(BEGIN);
      setTimeout(() => socket.write(END), 2 * STEP_MS);
    }]);
    caller = await RawCaller.open(`127.0.0.1:${rig.port}`);
    const asked = caller.send(REQUEST);
    await pause(STEP_MS);
    rig.replaceRouting(makeLimited(2n, STEP_MS));
    expect(await asked).toMatchObject({ answer: { headers: { 'keep-alive': 'timeout=15' } } });
    await pause(IDLE_MS);
    expect(caller.isEnded).toBe(false);
    expect(await caller.send(REQUEST)).toMatchObject({ answer: { status: 200 } });
  });

  it('should be closed after the new time once that was announced', async () => {
    rig = await RelayRig.start(makeLimited(1n, 15_000), [(socket) => socket.write(BEGIN + END)]);
    caller = await RawCaller.open(`127.0.0.1:${rig.port}`);
    await caller.send(REQUEST);
    rig.replaceRouting(makeLimited(2n, STEP_MS));
    expect(await caller.send(REQUEST)).toMatchObject({ answer: { headers: { 'keep-alive': 'timeout=0' } } });
    await pause(IDLE_MS);
    expect(caller.isEnded).toBe(true);
  });
});
