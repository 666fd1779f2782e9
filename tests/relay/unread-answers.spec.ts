import { setTimeout as pause } from 'node:timers/promises';
import {
  afterEach, describe, expect, it, vi,
} from 'vitest';
import type { Route } from '../../src/manifest/routing';
import { PlaceReply } from '../../src/protocol/generated/beechlift';
import { RawCaller } from '../fakes/rawCaller';
import { RelayRig } from '../fakes/relayRig';
import { makeRoute, makeRouting } from '../fakes/routings';
import { sendAnswer } from '../fakes/scriptedServer';
import type { ServerScript } from '../fakes/scriptedServer';

const REQUEST = { id: 'r1', path: '/orders/7', headers: { 'x-key': 'k1' } };
/** Time limit of a request, and the time after which its server sends the end of its answer. */
const LIMIT_MS = 700;
const ANSWER_MS = 200;
const BUSY_MS = 600;
/** Target latency after 2.5 times which a server counts as silent, within the busy time. */
const TARGET_MS = 280;
/** Longer than the time after which a server counts as silent with a target latency of 200 ms. */
const SILENT_MS = 600;

const STREAM_HEAD = 'HTTP/1.1 200 X\r\nx-id: r1\r\ntransfer-encoding: chunked\r\n\r\n';

/** Blocks the event loop, as in a process that gets no processor time. */
const keepBusy = (ms: number): void => {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, ms);
};

/** Runs a step after a while and then blocks: timers run next, and sockets are read after them. */
const performThenBlock = (step: () => void): void => {
  setTimeout(() => setImmediate(() => {
    step();
    keepBusy(BUSY_MS);
  }), ANSWER_MS);
};

const sendStream: ServerScript = (socket) => {
  socket.write(`${STREAM_HEAD}5\r\nbegun\r\n`);
  performThenBlock(() => socket.write('5\r\nended\r\n0\r\n\r\n'));
};

const sendPlain: ServerScript = (socket) => (
  performThenBlock(() => sendAnswer(socket, 'r1', 'begunended')));

const cases: readonly [string, Partial<Route>, ServerScript][] = [
  ['a stream', { kind: 'stream' }, sendStream],
  ['a stream that may be resumed', { kind: 'stream', isResumable: true }, sendStream],
  ['an idempotent request', { kind: 'idempotent' }, sendPlain],
  ['a request that may run once', { kind: 'nonIdempotent' }, sendPlain],
];

describe('an answer that came in time while the entry was busy', () => {
  let rig: RelayRig;

  let caller: RawCaller;

  afterEach(async () => {
    vi.restoreAllMocks();
    caller.close();
    await rig.close();
    await pause(BUSY_MS);
  });

  // Fault: the timer of the time limit ran before the sockets were read, so an answer whose last
  // byte had come was cut off or replaced by 504.
  it.each(cases)('should be passed on whole although the time limit has passed: %s', async (name, route, script) => {
    const routes = [makeRoute({ ...route, timeoutMs: LIMIT_MS, targetLatencyMs: LIMIT_MS })];
    rig = await RelayRig.start(makeRouting({ routes }), [script]);
    caller = await RawCaller.open(`127.0.0.1:${rig.port}`);
    expect(await caller.send(REQUEST)).toMatchObject({ answer: { status: 200, body: 'begunended' } });
  });

  // Fault: the timer that detects silent servers ran before the sockets were read, so an answer
  // that had come was dropped and the request was run again by another server.
  it('should not be dropped as if its server were silent', async () => {
    const routes = [makeRoute({ targetLatencyMs: TARGET_MS })];
    rig = await RelayRig.start(makeRouting({ routes }), [sendPlain, sendPlain]);
    caller = await RawCaller.open(`127.0.0.1:${rig.port}`);
    expect(await caller.send(REQUEST)).toMatchObject({ answer: { status: 200, body: 'begunended' } });
    expect(rig.received.length).toBe(1);
  });

  // Fault: the request moved as soon as another slot was granted. The answer that had come was
  // discarded unread, and the request ran a second time.
  it('should be passed on although another slot is granted in the same turn', async () => {
    let grantSlot: (workerId: string) => void;
    const slot = new Promise<string>((resolve) => {
      grantSlot = resolve;
    });
    rig = await RelayRig.start(
      makeRouting({ services: [{ name: 'rooms', maxConnections: 0, isEngine: true }] }),
      [async (socket) => {
        await pause(SILENT_MS);
        sendAnswer(socket, 'r1', 'late');
        grantSlot('w1');
      }, (socket) => sendAnswer(socket, 'r1', 'other')],
    );
    vi.spyOn(rig.placeClient, 'place').mockImplementation(async ({ placeId, tried }) => (
      PlaceReply.fromPartial({ placeId, workerId: tried.length === 0 ? 'w0' : await slot })));
    caller = await RawCaller.open(`127.0.0.1:${rig.port}`);
    expect(await caller.send(REQUEST)).toMatchObject({ answer: { status: 200, body: 'late' } });
    expect(rig.received).toHaveLength(1);
  });
});
