import {
  beforeEach, describe, expect, it,
} from 'vitest';
import { AnnouncementCache } from '../../src/entry/choosing/announcementCache';
import type { OrderSender } from '../../src/entry/choosing/orderSender';
import { Scheduler } from '../../src/entry/choosing/scheduler';
import { Configuration } from '../../src/entry/inForce/configuration';
import { findOwner } from '../../src/core/membership/entrySelection';
import { checkManifest } from '../../src/manifest/checkManifest';
import { computeDigest } from '../../src/manifest/manifestDelta';
import { Announcement, AskRequest, HeartbeatReply } from '../../src/protocol/generated/beechlift';
import type { AskReply, Member, PeerClient } from '../../src/protocol/generated/beechlift';
import type { LinkTable } from '../../src/wire/linkTable';
import { makeManifest } from '../fakes/testSite';

const POOL = 'engines';
const LEASE_MS = 60_000;
const { manifest } = checkManifest(JSON.stringify(makeManifest(1)));

const makeMember = (id: string): Member => ({
  id, incarnation: '1', peerAddress: id, callerAddress: id, zone: 'az-1', state: 'active',
});

const makeAnnouncement = (id: string, state: string) => Announcement.fromPartial({
  id, pool: POOL, kind: 'model', address: `${id}:1`, zone: 'az-1', hardware: 'fast', models: ['guide'], slots: 40, state, incarnation: '1',
});

/** An entry reduced to its scheduler and its configuration. */
interface FakeEntry {
  readonly scheduler: Scheduler;
  readonly configuration: Configuration;
}

describe('announcements of a backend server that leaves', () => {
  let entries: Map<string, FakeEntry>;
  let unreachableEntries: Set<string>;
  let asked: number;
  /** The view that control answers with; view number 0 changes nothing. */
  let controlView: { viewNumber: number; members: readonly string[] };

  const makeLink = (id: string) => ({
    call: (pick: unknown, request: Announcement): Promise<object> => {
      if (unreachableEntries.has(id) || !('state' in request)) return Promise.reject(new Error('cut off'));
      return Promise.resolve(entries.get(id)?.scheduler.handleForwardedAnnouncement(request))
        .then(() => ({}));
    },
  });

  const setView = (id: string, viewNumber: number, members: readonly string[]): void => {
    entries.get(id)?.configuration.applyReply(HeartbeatReply.fromPartial({
      leaseMs: LEASE_MS,
      manifestVersion: 1,
      manifest: JSON.stringify(manifest),
      manifestDigest: manifest && computeDigest(manifest),
      view: { number: viewNumber, members: members.map(makeMember) },
      viewNumber,
    }), 1_000);
  };

  const addEntry = (id: string): void => {
    const clock = { now: () => 1_000 };
    const configuration = new Configuration(clock);
    const scheduler = new Scheduler({
      id,
      configuration,
      peers: { find: makeLink, closeExcept: () => undefined } as unknown as LinkTable<PeerClient>,
      clock,
      listRunning: () => [],
      orders: {} as OrderSender,
      refreshView: async () => setView(id, controlView.viewNumber, controlView.members),
    });
    entries.set(id, { scheduler, configuration });
  };

  const announce = (entryId: string, workerId: string, state: string): Promise<void> => (
    entries.get(entryId)?.scheduler.announce(makeAnnouncement(workerId, state))
    ?? Promise.reject(new Error('no such entry')));

  const settle = () => new Promise((resolve) => {
    setImmediate(resolve);
  });

  /** The backend servers that an owner would send new requests to. */
  const listGrantedWorkers = async (owner: string): Promise<string[]> => {
    const replies: AskReply[] = [];
    Array.from({ length: 12 }, () => {
      asked += 1;
      return asked;
    }).forEach((askNumber) => entries.get(owner)?.scheduler.handleAsk(
      AskRequest.fromPartial({
        requestId: `r${askNumber}`, askNumber, pool: POOL, tier: 'door', account: 'kiosks', target: 'guide', entryId: owner, promptTokens: 10, maxTokens: 5, deadlineMs: 5_000,
      }),
      () => undefined,
    ).then((reply) => replies.push(reply)));
    await settle();
    return [...new Set(replies.filter(({ code }) => code === 0).map(({ workerId }) => workerId))];
  };

  /** The owner among the other two entries, the remaining entry, and the owner among all three. */
  const findOwners = (): [string, string, string] => {
    const all = ['e1', 'e2', 'e3'];
    const last = findOwner(all.map(makeMember), POOL)?.id ?? '';
    const others = all.filter((id) => id !== last);
    const first = findOwner(others.map(makeMember), POOL)?.id ?? '';
    return [first, others.find((id) => id !== first) ?? '', last];
  };

  beforeEach(() => {
    entries = new Map();
    unreachableEntries = new Set();
    asked = 0;
    controlView = { viewNumber: 0, members: [] };
    ['e1', 'e2', 'e3'].forEach(addEntry);
  });

  /*
   * An entry joins and becomes the owner of the pool. Before it was a member it received that g1 is
   * ready, while the members received that g1 is leaving. If it started with its own announcement,
   * it would send requests to g1 until a member forwards the later one.
   */
  it('should not use announcements that an entry received before it was a member', async () => {
    const [owner, other, joining] = findOwners();
    [owner, other, joining].forEach((id) => setView(id, 1, [owner, other]));
    await announce(joining, 'g1', 'ready');
    await announce(owner, 'g1', 'leaving');
    await announce(other, 'g2', 'ready');
    unreachableEntries.add(owner).add(other);
    setView(joining, 2, [owner, other, joining]);
    expect(await listGrantedWorkers(joining)).toEqual([]);
    unreachableEntries.clear();
    setView(owner, 2, [owner, other, joining]);
    setView(other, 2, [owner, other, joining]);
    await settle();
    expect(await listGrantedWorkers(joining)).toEqual(['g2']);
  });

  /*
   * A server announces to one entry that it is ready and to the next one that it is leaving. The
   * owner of the pool dies, and the new owner is the entry that received only "ready" directly. It
   * must have the "leaving" as well.
   */
  it('should forward a leaving server to every member, for the next owner of the pool', async () => {
    const [next, other, owner] = findOwners();
    [owner, other, next].forEach((id) => setView(id, 1, [owner, other, next]));
    await announce(next, 'g1', 'ready');
    await announce(next, 'g2', 'ready');
    await announce(other, 'g1', 'leaving');
    unreachableEntries.add(owner).add(other);
    setView(next, 2, [other, next]);
    expect(await listGrantedWorkers(next)).toEqual(['g2']);
  });

  /*
   * The entry that receives the announcement has an older view and forwards it to a former owner.
   * The former owner must forward it to the owner in its own view.
   */
  it('should forward an announcement to the owner of a newer view', async () => {
    const [owner, other, joining] = findOwners();
    setView(other, 1, [owner, other]);
    [owner, joining].forEach((id) => setView(id, 2, [owner, other, joining]));
    await announce(joining, 'g1', 'ready');
    await announce(joining, 'g2', 'ready');
    await announce(other, 'g1', 'leaving');
    expect(await listGrantedWorkers(joining)).toEqual(['g2']);
  });

  /*
   * An entry has joined, owns the pool, and receives that g1 is ready. The entry that then receives
   * that g1 is leaving does not have the new member in its view yet. Without a refreshed view the
   * new owner would send requests to g1 until the next heartbeat of the others.
   */
  it('should forward a leaving server to an entry that joined since the last heartbeat', async () => {
    const [owner, other, joining] = findOwners();
    [owner, other].forEach((id) => setView(id, 1, [owner, other]));
    controlView = { viewNumber: 2, members: [owner, other, joining] };
    setView(joining, controlView.viewNumber, controlView.members);
    await announce(joining, 'g1', 'ready');
    await announce(joining, 'g2', 'ready');
    await announce(other, 'g1', 'leaving');
    expect(await listGrantedWorkers(joining)).toEqual(['g2']);
  });

  /*
   * "Ready" and "leaving" of one server go to two entries, and "ready" arrives last although it is
   * older. An entry that caches it would use it as the next owner.
   */
  it('should not cache a "ready" that arrives after a later "leaving"', async () => {
    const [next, other, owner] = findOwners();
    [owner, other, next].forEach((id) => setView(id, 1, [owner, other, next]));
    await announce(other, 'g1', 'leaving');
    await announce(next, 'g1', 'ready');
    await announce(next, 'g2', 'ready');
    unreachableEntries.add(owner).add(other);
    setView(next, 2, [other, next]);
    expect(await listGrantedWorkers(next)).toEqual(['g2']);
  });
});

describe('AnnouncementCache', () => {
  // The second "leaving" must be forwarded to all members again.
  it('should report a server as newly leaving when it leaves again after it was ready', () => {
    const cache = new AnnouncementCache();
    expect(cache.store(makeAnnouncement('g1', 'leaving'), 0)).toBe(true);
    expect(cache.store(makeAnnouncement('g1', 'leaving'), 1_000)).toBe(false);
    expect(cache.store(makeAnnouncement('g1', 'ready'), 20_000)).toBe(false);
    expect(cache.list(20_000).map(({ state }) => state)).toEqual(['ready']);
    expect(cache.store(makeAnnouncement('g1', 'leaving'), 30_000)).toBe(true);
  });
});
