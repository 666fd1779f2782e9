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

/** A working server whose answer starts after the entry counts it as unresponsive. */
const answerLate: ServerScript = (socket) => {
  setTimeout(() => sendAnswer(socket, 'r1', 'late'), SLOW_MS);
};

const answerAtOnce: ServerScript = (socket) => sendAnswer(socket, 'r1', 'other');

const engines: Partial<Routing> = {
  services: [{ name: 'rooms', maxConnections: 0, isEngine: true }],
};

describe('a request at a server that starts its answer late', () => {
  let rig: RelayRig;

  const start = async (
    changes: Partial<Routing>,
    ...scripts: ServerScript[]
  ): Promise<RelayRig> => {
    rig = await RelayRig.start(makeRouting({ routes: [makeRoute({ kind: 'idempotent' })], ...changes }), scripts);
    return rig;
  };

  const callShop = (): Promise<string> => rig.send(REQUEST, 2_500);

  /** Makes the leader grant w0 for the first try and `placeAgain` decide on the others. */
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

  // Fault: the request was aborted at the only server of its service, which was running it.
  it('should wait for the server if there is no other one', async () => {
    await start({}, answerLate);
    expect(await callShop()).toMatch(/^HTTP\/1.1 200 [^]*late$/);
  });

  // Fault: the request was aborted at the server that was running it, though no retry was allowed.
  it('should wait for the server if the service has no retries left', async () => {
    await start({}, answerLate, answerLate);
    vi.spyOn(rig.site.retries, 'take').mockReturnValue(false);
    expect(await callShop()).toMatch(/^HTTP\/1.1 200 [^]*late$/);
    expect(rig.received).toHaveLength(1);
  });

  // Fault: the request was aborted at the engine that was running it, before the leader refused a
  // slot for the retry.
  it('should wait for the server if the leader refuses another slot', async () => {
    await start(engines, answerLate, answerAtOnce);
    placeFirst(({ placeId }) => Promise.resolve(PlaceReply.fromPartial({
      placeId, code: resultCodes.noSlotInTime.number, message: 'no slot in time', retryAfterMs: 300,
    })));
    expect(await callShop()).toMatch(/^HTTP\/1.1 200 [^]*late$/);
  });

  // Fault: the request was aborted at the engine that was running it while its retry waited.
  it('should use its answer if it arrives before another slot is granted', async () => {
    await start(engines, answerLate, answerAtOnce);
    const report = vi.spyOn(rig.placeClient, 'report');
    placeFirst(async ({ placeId }) => {
      await pause(SLOW_MS);
      return PlaceReply.fromPartial({ placeId, workerId: 'w1' });
    });
    expect(await callShop()).toMatch(/^HTTP\/1.1 200 [^]*late$/);
    await vi.waitFor(() => expect(report.mock.calls.map(([{ phase }]) => phase)).toContain('unused'));
    expect(rig.findServer(1).requests).toHaveLength(0);
  });

  // A server that has started its answer must not count as unresponsive because the entry still
  // buffers that answer.
  it('should stay at the server if an answer that is not a stream has started', async () => {
    await start({}, (socket) => {
      socket.write('HTTP/1.1 200 X\r\nx-id: r1\r\ncontent-length: 4\r\n\r\nla');
      setTimeout(() => socket.write('te'), SLOW_MS);
    }, answerAtOnce);
    expect(await callShop()).toMatch(/^HTTP\/1.1 200 [^]*late$/);
    expect(rig.findServer(1).requests).toHaveLength(0);
  });

  // Fault: the request was aborted at the server that was running it, though the entry shuts down
  // too early for a retry.
  it('should wait for the server if the entry shuts down', async () => {
    await start({}, answerLate, answerLate);
    const asked = callShop();
    await pause(100);
    rig.site.leaving.begin(performance.now() + SLOW_MS, 0);
    expect(await asked).toMatch(/^HTTP\/1.1 200 [^]*late$/);
    expect(rig.received).toHaveLength(1);
  });

  // Fault: the request was aborted at the engine that was running it, though it had become suspect
  // while its retry waited for a slot.
  it('should wait for the server if it may no longer be repeated once it gets another slot', async () => {
    await start(engines, answerLate, answerAtOnce);
    placeFirst(({ placeId }) => {
      vi.spyOn(RequestGuard.prototype, 'isUnsuspected', 'get').mockReturnValue(false);
      return Promise.resolve(PlaceReply.fromPartial({ placeId, workerId: 'w1' }));
    });
    expect(await callShop()).toMatch(/^HTTP\/1.1 200 [^]*late$/);
  });

  it('should go to another server as soon as it gets a slot there', async () => {
    await start(engines, answerLate, answerAtOnce);
    placeFirst(({ placeId }) => Promise.resolve(PlaceReply.fromPartial({ placeId, workerId: 'w1' })));
    expect(await callShop()).toMatch(/^HTTP\/1.1 200 [^]*other$/);
  });
});
