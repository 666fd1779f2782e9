import { setTimeout as pause } from 'node:timers/promises';
import {
  afterEach, describe, expect, it, vi,
} from 'vitest';
import { SiteService, WorkerAnnouncement } from '../../src/protocol/generated/beechlift';
import { ControlSite, waitFor } from '../fakes/controlSite';

const REPLICAS = [0, 1, 2];
const SERVERS = 80;
const ROUNDS = 5;
const ROUND_MS = 100;

const makeAnnouncement = (server: number, sequence: number): WorkerAnnouncement => (
  WorkerAnnouncement.fromPartial({
    workerId: `w${server}`, service: 'rooms', address: `10.0.0.${server}:80`, slots: 6, state: 'ready', sequence,
  }));

describe('announcements that replicas forward', () => {
  let site: ControlSite;
  let messages = 0;

  const countDecoded = (method: { requestDeserialize: (value: Buffer) => unknown }): void => {
    const decode = method.requestDeserialize;
    vi.spyOn(method, 'requestDeserialize').mockImplementation((value) => {
      messages += 1;
      return decode(value);
    });
  };

  /** Sends one announcement of each server to a replica; resolves with how many were taken. */
  const announceAll = async (position: number, sequence: number): Promise<number> => {
    const replies = await Promise.all(Array.from({ length: SERVERS }, (unused, server) => (
      site.findNode(position).announce(makeAnnouncement(server, sequence)))));
    return replies.filter(({ taken }) => taken).length;
  };

  const openSite = async (): Promise<{ leader: number; follower: number }> => {
    site = await ControlSite.open(REPLICAS.length);
    await Promise.all(REPLICAS.map((position) => site.start(position, true)));
    const leader = await site.waitForLeader();
    const follower = REPLICAS.find((position) => position !== leader) ?? -1;
    await announceAll(leader, 1);
    await waitFor(() => REPLICAS.every((position) => (
      site.findNode(position).countWorkers().get('ready') === SERVERS)), 'all replicas know the servers');
    return { leader, follower };
  };

  afterEach(async () => {
    vi.restoreAllMocks();
    await site.close();
  });

  // A call for each announcement took a quarter of the processor time of a leader with a hundred
  // servers, before the first request.
  it('should share messages if they change nothing', async () => {
    messages = 0;
    countDecoded(SiteService.announce);
    countDecoded(SiteService.keepAnnouncing);
    const { follower } = await openSite();
    const rounds = await Promise.all(Array.from({ length: ROUNDS }, async (unused, round) => {
      await pause(round * ROUND_MS);
      return announceAll(follower, round + 2);
    }));
    expect(rounds).toEqual(Array.from({ length: ROUNDS }, () => SERVERS));
    expect(messages).toBeLessThanOrEqual(2 * ROUNDS);
  });

  // The announcement that a server leaves must not wait for others: it gets requests until then.
  it('should be forwarded at once if they change something', async () => {
    const { follower } = await openSite();
    const startedAt = performance.now();
    const { taken } = await site.findNode(follower)
      .announce({ ...makeAnnouncement(0, 2), state: 'draining' });
    expect(taken).toBe(true);
    expect(performance.now() - startedAt).toBeLessThan(100);
  });

  it('should not be taken if no replica leads', async () => {
    const { leader, follower } = await openSite();
    await site.stop(leader);
    const others = REPLICAS.filter((position) => position !== leader && position !== follower);
    await Promise.all(others.map((position) => site.stop(position)));
    expect(await announceAll(follower, 2)).toBe(0);
  });
});
