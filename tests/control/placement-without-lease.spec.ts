import { setTimeout as pause } from 'node:timers/promises';
import {
  afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import type { RoutedNode } from '../../src/control/routedNode';
import {
  PlaceNews, PlaceRequest, WatchRequest, WorkerAnnouncement,
} from '../../src/protocol/generated/beechlift';
import type { PlaceDecisions } from '../../src/protocol/generated/beechlift';
import { ControlSite, formatDocument, waitFor } from '../fakes/controlSite';

const POSITIONS = [0, 1, 2];
/** Time without a message after which an entry places its waiting requests itself, in ms. */
const ENTRY_PATIENCE_MS = 250;

const makeNews = (number: number, placeId: string, targetMs: number): PlaceNews => (
  PlaceNews.fromPartial({
    number,
    entryId: number === 1 ? 'e1' : '',
    requests: [{
      ...PlaceRequest.fromPartial({ targetMs, remainingMs: 20_000 }), placeId, entryId: 'e1', service: 'rooms',
    }],
  }));

describe('a leader whose lease has lapsed', () => {
  let site: ControlSite;

  let node: RoutedNode;

  const messages: { readonly at: number; readonly decisions: PlaceDecisions }[] = [];

  let take: (news: PlaceNews) => void;

  beforeEach(async () => {
    messages.length = 0;
    site = await ControlSite.open(POSITIONS.length);
    await Promise.all(POSITIONS.map((position) => site.start(position, true)));
    const leader = await site.waitForLeader();
    node = site.findNode(leader);
    await node.publish({ document: formatDocument(1), deadlineMs: 3_000, forwarded: false });
    await node.announce(WorkerAnnouncement.fromPartial({
      workerId: 'w1', service: 'rooms', address: '10.0.0.1:80', zone: 'a', slots: 1, state: 'ready', sequence: 1,
    }));
    await node.watch(WatchRequest.fromPartial({
      entryId: 'e1', callerAddress: '10.0.1.1:80', zone: 'a', state: 'active',
    }));
    take = node.openPlacementStream({
      send: (decisions) => messages.push({ at: performance.now(), decisions }),
      end: () => undefined,
    }).take;
    take(makeNews(1, 'holds', 60_000));
    await Promise.all(POSITIONS.filter((position) => position !== leader)
      .map((position) => site.stop(position)));
    await waitFor(() => !node.isLeading, 'the lease has lapsed');
  });

  afterEach(() => Promise.all([...site.running.keys()].map((position) => site.stop(position))));

  // Guards against entries that choose full servers themselves: they heard nothing of their waiting
  // requests while the lease had lapsed, and took the leader for unreachable.
  it('should show entries whose requests wait that it is there', async () => {
    take(makeNews(2, 'waits', 60_000));
    const startedAt = performance.now();
    await pause(4 * ENTRY_PATIENCE_MS);
    const times = [startedAt, ...messages.map(({ at }) => at).filter((at) => at > startedAt)];
    const gaps = times.slice(1).map((at, position) => at - (times[position] ?? 0));
    expect(times.length).toBeGreaterThanOrEqual(4);
    expect(Math.max(...gaps)).toBeLessThan(ENTRY_PATIENCE_MS);
  });

  // Guards against a request that waits beyond its patience, as nothing else looks at it.
  it('should refuse a request that has waited too long', async () => {
    take(makeNews(2, 'waits', 700));
    await waitFor(() => messages.some(({ decisions: { replies } }) => (
      replies.some(({ placeId, code }) => placeId === 'waits' && code !== 0))), 'it is refused');
  });
});
