import { setTimeout as pause } from 'node:timers/promises';
import {
  afterEach, describe, expect, it,
} from 'vitest';
import type { Mechanism } from '../../src/core/routing/mechanisms';
import type { Route } from '../../src/manifest/routing';
import { PlaceReply, WatchReply } from '../../src/protocol/generated/beechlift';
import type { PlaceClient } from '../../src/relay/placeClient';
import { WorkerPicker } from '../../src/relay/workerPicker';
import { systemClock } from '../../src/utils/clock';
import { NO_CONNECTIONS, RelayRig } from '../fakes/relayRig';
import { makeRoute, makeRouting } from '../fakes/routings';
import { sendAnswer } from '../fakes/scriptedServer';
import type { ServerScript } from '../fakes/scriptedServer';

const HEAD = 'HTTP/1.1 200 OK\r\nx-id: r1\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n';

const writeEvent = (id: number): string => {
  const text = `id: ${id}\ndata: x\n\n`;
  return `${text.length.toString(16)}\r\n${text}\r\n`;
};

const answerAll: ServerScript = (socket) => sendAnswer(socket, 'r1', 'fine');

describe('mechanisms that are switched off at an entry', () => {
  let rig: RelayRig;

  const start = async (
    off: readonly Mechanism[],
    route: Partial<Route>,
    ...scripts: ServerScript[]
  ): Promise<void> => {
    rig = await RelayRig.start(makeRouting({
      routes: [makeRoute(route)], services: [{ name: 'rooms', maxConnections: 0, isEngine: true }],
    }), scripts, off);
  };

  const callShop = (): Promise<string> => (
    rig.send('GET /orders/7 HTTP/1.1\r\nHost: shop.example\r\nx-id: r1\r\nx-key: k1\r\nconnection: close\r\n\r\n', 2_500));

  afterEach(() => rig.close());

  const serveAndDie: ServerScript = (socket, request) => {
    const isResumed = /x-last: \d+/.test(request);
    socket.write(`${HEAD}${writeEvent(isResumed ? 2 : 1)}${isResumed ? '0\r\n\r\n' : ''}`);
    if (!isResumed) setTimeout(() => socket.destroy(), 30);
  };

  it.each([[[], true], [['resumption'], false]] as const)('should resume a stream at another server unless resumption is off: %j', async (off, isWhole) => {
    await start(off, { kind: 'stream', isResumable: true, targetLatencyMs: 800 }, serveAndDie, serveAndDie);
    expect((await callShop()).includes('id: 2')).toBe(isWhole);
  });

  it.each([[[], 2], [['silence'], 1]] as const)('should move a request away from an unresponsive server unless silence is off: %j', async (off, tries) => {
    await start(off, {
      kind: 'idempotent', maxAttempts: 2, targetLatencyMs: 100, timeoutMs: 900,
    }, () => undefined, () => undefined);
    await callShop();
    expect(rig.received).toHaveLength(tries);
  });

  it.each([[[], 200], [['leaseWait'], 503]] as const)('should wait for a lease unless leaseWait is off: %j', async (off, status) => {
    await start(off, {}, answerAll);
    const { site } = rig;
    let isServing = false;
    Object.defineProperty(site, 'isServing', { get: () => isServing });
    const answer = callShop();
    await pause(50);
    isServing = true;
    site.applyReply(WatchReply.fromPartial({
      leaseMs: 60_000, documentDigest: 'd', documentVersion: '1', workersEpoch: 'e', workersRevision: 1, entryCount: 1,
    }), systemClock.now(), 0);
    expect(await answer).toMatch(new RegExp(`^HTTP/1.1 ${status}`, 'u'));
  });

  it.each([[[], true], [['leaderPlacing'], false]] as const)('should ask the leader for a slot unless leaderPlacing is off: %j', async (off, isPlaced) => {
    await start(off, {}, answerAll);
    const placeClient = {
      place: () => Promise.resolve(PlaceReply.fromPartial({ workerId: 'w0' })), cancel: () => undefined,
    } as unknown as PlaceClient;
    const picker = new WorkerPicker({
      site: rig.site, placeClient, connections: NO_CONNECTIONS, clock: systemClock,
    });
    const picked = await picker.pick({
      admitted: {
        route: makeRoute({}), service: 'rooms', account: undefined, rank: 0, version: 1n,
      },
      facts: {
        requestId: 'r1', maxWaitMs: 5_000, key: '', lastEventId: '', resumedId: '', tokens: undefined, promptParts: [],
      },
      deadlineAt: systemClock.now() + 5_000,
      tried: [],
      guard: { fingerprint: '', isUnsuspected: true },
      isAbandoned: () => false,
      onWaiting: () => undefined,
    });
    expect(picked?.placeId !== '').toBe(isPlaced);
  });
});
