import { setTimeout as pause } from 'node:timers/promises';
import {
  afterEach, describe, expect, it, vi,
} from 'vitest';
import type { Routing } from '../../src/manifest/routing';
import { resultCodes } from '../../src/errors/resultCodes';
import { PlaceReply } from '../../src/protocol/generated/beechlift';
import type { PlaceRequest } from '../../src/protocol/generated/beechlift';
import { RequestGuard } from '../../src/relay/requestGuard';
import { RelayRig } from '../fakes/relayRig';
import { makeRoute, makeRouting } from '../fakes/routings';
import { sendAnswer } from '../fakes/scriptedServer';
import type { ServerScript } from '../fakes/scriptedServer';

const SLOW_MS = 900;
const REQUEST = 'GET /orders/7 HTTP/1.1\r\nHost: shop.example\r\nx-id: r1\r\nx-key: k1\r\nconnection: close\r\n\r\n';

/** Sound, and still at work when its silence is noticed. */
const answerLate: ServerScript = (socket) => {
  setTimeout(() => sendAnswer(socket, 'r1', 'late'), SLOW_MS);
};

const answerAtOnce: ServerScript = (socket) => sendAnswer(socket, 'r1', 'other');

const engines: Partial<Routing> = {
  services: [{ name: 'rooms', maxConnections: 0, isEngine: true }],
};

describe('a request at a server that is slow to begin its answer', () => {
  let rig: RelayRig;

  const start = async (
    changes: Partial<Routing>,
    ...scripts: ServerScript[]
  ): Promise<RelayRig> => {
    rig = await RelayRig.start(makeRouting({ routes: [makeRoute({ kind: 'idempotent' })], ...changes }), scripts);
    return rig;
  };

  const callShop = (): Promise<string> => rig.send(REQUEST, 2_500);

  /** The leader gives w0 for the first try, and what the test says for the others. */
  const placeFirst = (placeAgain: (request: PlaceRequest) => Promise<PlaceReply>): void => {
    vi.spyOn(rig.placeClient, 'place').mockImplementation((request) => (
      request.tried.length === 0
        ? Promise.resolve(PlaceReply.fromPartial({ placeId: request.placeId, workerId: 'w0' }))
        : placeAgain(request)));
  };

  afterEach(async () => {
    vi.restoreAllMocks();
    await rig.close();
  });

  // The only server of a service works on a request; it is given up, and no other is there.
  it('should wait for it where no other server is there', async () => {
    await start({}, answerLate);
    expect(await callShop()).toMatch(/^HTTP\/1.1 200 [^]*late$/);
  });

  // A request is given up at a server that works on it, and its repeat isn't allowed any more.
  it('should wait for it where the service has no repeats left', async () => {
    await start({}, answerLate, answerLate);
    vi.spyOn(rig.site.retries, 'take').mockReturnValue(false);
    expect(await callShop()).toMatch(/^HTTP\/1.1 200 [^]*late$/);
    expect(rig.received).toHaveLength(1);
  });

  // A request is given up at an engine that works on it, and the leader has no slot for its repeat.
  it('should wait for it where the leader refuses another place', async () => {
    await start(engines, answerLate, answerAtOnce);
    placeFirst(({ placeId }) => Promise.resolve(PlaceReply.fromPartial({
      placeId, code: resultCodes.noSlotInTime.number, message: 'no slot in time', retryAfterMs: 300,
    })));
    expect(await callShop()).toMatch(/^HTTP\/1.1 200 [^]*late$/);
  });

  // A request is given up at an engine that works on it, while its repeat waits for a slot.
  it('should take its answer when it comes before another place', async () => {
    await start(engines, answerLate, answerAtOnce);
    const report = vi.spyOn(rig.placeClient, 'report');
    placeFirst(async ({ placeId }) => {
      await pause(SLOW_MS);
      return PlaceReply.fromPartial({ placeId, workerId: 'w1' });
    });
    expect(await callShop()).toMatch(/^HTTP\/1.1 200 [^]*late$/);
    await vi.waitFor(() => expect(report.mock.calls.map(([{ phase }]) => phase)).toContain('dropped'));
    expect(rig.findServer(1).requests).toHaveLength(0);
  });

  // A server is taken for silent that has begun its answer, as the caller has nothing of it yet.
  it('should stay where a plain answer has begun', async () => {
    await start({}, (socket) => {
      socket.write('HTTP/1.1 200 X\r\nx-id: r1\r\ncontent-length: 4\r\n\r\nla');
      setTimeout(() => socket.write('te'), SLOW_MS);
    }, answerAtOnce);
    expect(await callShop()).toMatch(/^HTTP\/1.1 200 [^]*late$/);
    expect(rig.findServer(1).requests).toHaveLength(0);
  });

  // A request is given up at a server that works on it, and the entry ends too soon for its repeat.
  it('should wait for it where the entry leaves', async () => {
    await start({}, answerLate, answerLate);
    const asked = callShop();
    await pause(100);
    rig.site.beginLeaving(performance.now() + SLOW_MS);
    expect(await asked).toMatch(/^HTTP\/1.1 200 [^]*late$/);
    expect(rig.received).toHaveLength(1);
  });

  // A request is given up at an engine that works on it, and became suspect while it waited.
  it('should wait for it where it may not be repeated by the time that it has a place', async () => {
    await start(engines, answerLate, answerAtOnce);
    placeFirst(({ placeId }) => {
      vi.spyOn(RequestGuard.prototype, 'isFree', 'get').mockReturnValue(false);
      return Promise.resolve(PlaceReply.fromPartial({ placeId, workerId: 'w1' }));
    });
    expect(await callShop()).toMatch(/^HTTP\/1.1 200 [^]*late$/);
  });

  it('should go to another server as soon as it has a place there', async () => {
    await start(engines, answerLate, answerAtOnce);
    placeFirst(({ placeId }) => Promise.resolve(PlaceReply.fromPartial({ placeId, workerId: 'w1' })));
    expect(await callShop()).toMatch(/^HTTP\/1.1 200 [^]*other$/);
  });
});
