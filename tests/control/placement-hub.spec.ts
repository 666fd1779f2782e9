import { setTimeout as pause } from 'node:timers/promises';
import {
  afterEach, beforeEach, describe, expect, it, vi,
} from 'vitest';
import type { MockInstance } from 'vitest';
import { HubTrunk } from '../../src/control/hubTrunk';
import type { PlacementMessageHandlers } from '../../src/control/placementStream';
import { NO_TIMINGS } from '../../src/core/routing/placementTables';
import {
  PlaceNews, PlaceRequest, SiteClient, SiteService, WatchRequest, WorkerAnnouncement,
} from '../../src/protocol/generated/beechlift';
import type { HubDecisions, HubNews } from '../../src/protocol/generated/beechlift';
import { PlaceClient } from '../../src/relay/placeClient';
import { makeLogger } from '../../src/telemetry/logger';
import { systemClock } from '../../src/utils/clock';
import { LinkTable } from '../../src/wire/linkTable';
import type { RpcLink, StreamListener } from '../../src/wire/rpcLink';
import { ControlSite, formatDocument, waitFor } from '../fakes/controlSite';

const REPLICAS = [0, 1, 2];
const SERVICE = 'rooms';
const SLOTS = 8;
const logger = makeLogger('test', 'silent');

const makeRequest = (placeId: string, entryId: string): PlaceRequest => PlaceRequest.fromPartial({
  placeId, entryId, service: SERVICE, targetMs: 1_000, remainingMs: 5_000, zone: 'a',
});

describe('placement messages that pass through another replica', () => {
  let site: ControlSite;
  let leader = -1;
  let hub = -1;
  let links: LinkTable<SiteClient>;
  let clients: PlaceClient[] = [];
  /** Counts the messages that a replica passed on. */
  let passedOn: MockInstance;

  /** Adds an entry that uses the hub, and lets the leader know it. */
  const addEntry = async (entryId: string): Promise<PlaceClient> => {
    const client = new PlaceClient({
      entryId,
      findLeader: () => links.find(site.getAddress(leader)),
      findHub: () => links.find(site.getAddress(hub)),
      countEntries: () => 1,
      clock: systemClock,
      logger,
    });
    clients.push(client);
    await site.findNode(leader).watch(WatchRequest.fromPartial({ entryId, state: 'active', callerAddress: entryId }));
    return client;
  };

  const place = async (client: PlaceClient, placeId: string, entryId = 'e1'): Promise<number | undefined> => (
    (await client.place(makeRequest(placeId, entryId), systemClock.now() + 5_000))?.code);

  const countPlaced = (): number => site.findNode(leader).countRequests().placed;

  const findOther = (...positions: readonly number[]): number => (
    REPLICAS.find((position) => !positions.includes(position)) ?? -1);

  const announceServer = async (): Promise<void> => {
    await site.findNode(leader).announce(WorkerAnnouncement.fromPartial({
      workerId: 'w1', service: SERVICE, address: '10.0.0.1:80', slots: SLOTS, state: 'ready', sequence: 1,
    }));
  };

  beforeEach(async () => {
    // A server keeps the functions that it finds when it starts.
    passedOn = vi.spyOn(SiteService.placeForMany, 'requestDeserialize');
    links = new LinkTable(SiteClient);
    clients = [];
    site = await ControlSite.open(REPLICAS.length);
    await Promise.all(REPLICAS.map((position) => site.start(position, true)));
    leader = await site.waitForLeader();
    hub = findOther(leader);
    await site.findNode(leader).publish({
      document: formatDocument(1), deadlineMs: 3_000, forwarded: false,
    });
    await announceServer();
    await waitFor(() => site.findNode(hub).leaderAddress === site.getAddress(leader), 'the hub knows the leader');
  });

  afterEach(async () => {
    vi.restoreAllMocks();
    clients.forEach((client) => client.close());
    links.close();
    await site.close();
  });

  it('should get slots, and give them back', async () => {
    const client = await addEntry('e1');
    expect(await Promise.all(['p1', 'p2'].map((id) => place(client, id)))).toEqual([0, 0]);
    expect(countPlaced()).toBe(2);
    client.report({ placeId: 'p1', phase: 'ended', ...NO_TIMINGS });
    await waitFor(() => countPlaced() === 1, 'the slot is free');
    expect(passedOn).toHaveBeenCalled();
  });

  // A request that was placed for one entry was answered to another, if both used the same numbers.
  it('should reach the entry that asked', async () => {
    const entries = await Promise.all(['e1', 'e2', 'e3'].map(addEntry));
    const codes = await Promise.all(entries.map((client, index) => place(client, `p${index}`, `e${index + 1}`)));
    expect(codes).toEqual([0, 0, 0]);
  });

  // Slots were held for an entry that had lost the replica between, or were given out twice.
  it('should go directly to the leader when that replica ends, with the slots that are held', async () => {
    const client = await addEntry('e1');
    expect(await place(client, 'p1')).toBe(0);
    await site.stop(hub);
    expect(await place(client, 'p2')).toBe(0);
    expect(countPlaced()).toBe(2);
    client.report({ placeId: 'p1', phase: 'ended', ...NO_TIMINGS });
    client.report({ placeId: 'p2', phase: 'ended', ...NO_TIMINGS });
    await waitFor(() => countPlaced() === 0, 'both slots are free');
  });

  it('should tell the entry when the leader ends, and reach the next one', async () => {
    const client = await addEntry('e1');
    expect(await place(client, 'p1')).toBe(0);
    await site.stop(leader);
    leader = await site.waitForLeader();
    hub = findOther(leader);
    await announceServer();
    await site.findNode(leader).watch(WatchRequest.fromPartial({ entryId: 'e1', state: 'active', callerAddress: 'e1' }));
    // The entry that was told of the end places requests itself for a moment.
    await pause(600);
    await waitFor(async () => await place(client, `p${performance.now()}`) === 0, 'a slot of the next leader');
  });

  it('should not be passed on to an address that is no replica', async () => {
    const decisions: unknown[] = [];
    let isClosed = false;
    const stream = links.find(site.getAddress(hub)).openStream((stub) => stub.place.bind(stub), {
      take: (message) => decisions.push(message),
      close: () => {
        isClosed = true;
      },
    });
    stream.write(PlaceNews.fromPartial({
      number: 1, entryId: 'e1', requests: [makeRequest('p1', 'e1')], leaderAddress: '127.0.0.1:9',
    }));
    await waitFor(() => isClosed, 'the stream is closed');
    expect(decisions).toEqual([]);
  });

  // Late messages of a stream that its entry had given up placed its requests again.
  it('should have no effect on a stream that its entry has replaced', async () => {
    const client = await addEntry('e1');
    const stale = links.find(site.getAddress(hub)).openStream((stub) => stub.place.bind(stub), {
      take: () => undefined, close: () => undefined,
    });
    stale.write(PlaceNews.fromPartial({
      number: 1, entryId: 'e1', leaderAddress: site.getAddress(leader),
    }));
    await pause(100);
    expect(await place(client, 'p1')).toBe(0);
    stale.write(PlaceNews.fromPartial({ number: 2, requests: [makeRequest('p2', 'e1')] }));
    await pause(200);
    expect(countPlaced()).toBe(1);
  });
});

describe('the stream of a replica that passes placement messages on', () => {
  const ENTRIES = 78;
  const MESSAGES = 20;
  const INTERVAL_MS = 50;

  let written: HubNews[] = [];
  let listener: StreamListener<HubDecisions> | undefined;
  let replaceCount = 0;
  let trunk: HubTrunk;
  let ended: number[] = [];

  const link = {
    address: '127.0.0.1:1',
    openStream: (unused: unknown, streamListener: StreamListener<HubDecisions>) => {
      listener = streamListener;
      return {
        write: (message: HubNews) => written.push(message),
        cancel: () => undefined,
        replaceConnection: () => {
          replaceCount += 1;
        },
      };
    },
  } as unknown as RpcLink<SiteClient>;

  const openStreams = (count: number): PlacementMessageHandlers[] => (
    Array.from({ length: count }, (unused, entry) => trunk.open({
      send: () => undefined, end: () => ended.push(entry),
    })));

  beforeEach(() => {
    vi.useFakeTimers();
    written = [];
    replaceCount = 0;
    ended = [];
    trunk = new HubTrunk({ link, clock: { now: () => performance.now() }, logger });
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  // Each message of an entry was one of the leader's, which spent most of its time on these.
  it('should not carry more messages for more entries', async () => {
    const streams = openStreams(ENTRIES);
    const startedAt = performance.now();
    await Array.from({ length: MESSAGES }).reduce<Promise<void>>(async (before) => {
      await before;
      streams.forEach(({ take }) => setTimeout(
        () => take(PlaceNews.fromPartial({ number: 1 })),
        INTERVAL_MS * Math.random(),
      ));
      await vi.advanceTimersByTimeAsync(INTERVAL_MS);
      listener?.take({ received: written.length, decisions: [] });
    }, Promise.resolve());
    await vi.advanceTimersByTimeAsync(INTERVAL_MS);
    expect(written.flatMap(({ news }) => news)).toHaveLength(ENTRIES * MESSAGES);
    expect(written.length).toBeLessThanOrEqual((performance.now() - startedAt) / 10);
  });

  // Entries hold the replica responsible after a second of silence. It told them later that the
  // leader had stopped, and they all went to the next leader directly, which was full at once.
  it.each([0, 150, 390])('should tell the entries within 0.9 s that the leader has stopped: %i ms after a count', async (delayMs) => {
    const [first] = openStreams(2);
    first?.take(PlaceNews.fromPartial({ number: 1 }));
    await vi.advanceTimersByTimeAsync(20);
    listener?.take({ received: 1, decisions: [] });
    await vi.advanceTimersByTimeAsync(delayMs);
    first?.take(PlaceNews.fromPartial({ number: 2 }));
    await vi.advanceTimersByTimeAsync(650);
    expect([ended, replaceCount]).toEqual([[], 0]);
    await vi.advanceTimersByTimeAsync(250);
    expect([ended, replaceCount]).toEqual([[0, 1], 1]);
  });

  it('should end the streams of all entries if too many messages are on their way', async () => {
    const [first] = openStreams(2);
    await Array.from({ length: 70 }).reduce<Promise<void>>(async (before) => {
      await before;
      first?.take(PlaceNews.fromPartial({ number: 1 }));
      await vi.advanceTimersByTimeAsync(2);
      listener?.take({ received: 0, decisions: [] });
      await vi.advanceTimersByTimeAsync(60);
    }, Promise.resolve());
    expect(ended).toEqual([0, 1]);
    expect(written).toHaveLength(64);
  });

  // A leader that was full got a message of each replica every 10 ms all the same: its turns took
  // a tenth of a second, and replies that renew leases waited for more than one.
  it('should carry fewer messages the longer the leader takes for one', async () => {
    const [first] = openStreams(1);
    await Array.from({ length: 100 }).reduce<Promise<void>>(async (before) => {
      await before;
      first?.take(PlaceNews.fromPartial({ number: 1 }));
      await vi.advanceTimersByTimeAsync(5);
    }, Promise.resolve());
    expect(written.length).toBeLessThanOrEqual(500 / 60 + 1);
    const sent = written.length;
    listener?.take({ received: sent, decisions: [] });
    await vi.advanceTimersByTimeAsync(10);
    expect(written.flatMap(({ news }) => news)).toHaveLength(100);
  });

  it('should end the stream of an entry whose stream the leader ended, and of no other', async () => {
    const streams = openStreams(3);
    streams.forEach(({ take }) => take(PlaceNews.fromPartial({ number: 1 })));
    await vi.advanceTimersByTimeAsync(20);
    listener?.take({ received: 1, decisions: [{ stream: 2 }] });
    expect(ended).toEqual([1]);
  });
});
