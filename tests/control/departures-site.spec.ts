import {
  afterEach, describe, expect, it,
} from 'vitest';
import { WatchRequest, WorkerAnnouncement } from '../../src/protocol/generated/beechlift';
import type { WatchReply } from '../../src/protocol/generated/beechlift';
import { ControlSite, formatDocument, waitFor } from '../fakes/controlSite';

const REPLICAS = [0, 1, 2];

describe('the announcement of a server that leaves', () => {
  let site: ControlSite;

  const announce = async (position: number, state: string, sequence: number): Promise<boolean> => {
    const { taken } = await site.findNode(position).announce(WorkerAnnouncement.fromPartial({
      workerId: 'w1', service: 'rooms', address: '10.0.0.1:80', slots: 6, state, sequence, born: 5,
    }));
    return taken;
  };

  /** Reads the standing of the server as an entry learns it; asks until the leader answers. */
  const readStanding = async (): Promise<string | undefined> => {
    const ask = async (): Promise<WatchReply> => {
      const reply = await site.findNode(await site.waitForLeader())
        .watch(WatchRequest.fromPartial({ entryId: 'e1', state: 'active' }));
      return reply.leaseMs > 0 ? reply : ask();
    };
    return (await ask()).workers.find(({ said }) => said?.workerId === 'w1')?.standing;
  };

  /** Founds a site whose replicas all know the server; returns the position of the leader. */
  const found = async (): Promise<number> => {
    site = await ControlSite.open(REPLICAS.length);
    await Promise.all(REPLICAS.map((position) => site.start(position, true)));
    const leader = await site.waitForLeader();
    await site.findNode(leader).publish({
      document: formatDocument(1), deadlineMs: 3_000, forwarded: false,
    });
    await announce(leader, 'ready', 1);
    await waitFor(() => REPLICAS.every((position) => (
      site.findNode(position).countWorkers().get('ready') === 1)), 'all replicas know the server');
    return leader;
  };

  afterEach(() => site.close());

  // A server got requests for seconds after it had said that it leaves: the leader had acknowledged
  // it, ended, and the next one had not heard of it.
  it.each(['draining', 'gone'])('should be known to the next leader once it is acknowledged: %s', async (state) => {
    const leader = await found();
    expect(await announce(leader, state, 2)).toBe(true);
    await site.stop(leader);
    expect(await readStanding()).toBe(state);
  });

  it.each(['draining', 'gone'])('should be known after all replicas ended at once: %s', async (state) => {
    const leader = await found();
    expect(await announce(leader, state, 2)).toBe(true);
    await site.restartAll();
    expect(await readStanding()).toBe(state);
  });

  it('should not outweigh a later announcement that the server is ready', async () => {
    const leader = await found();
    await announce(leader, 'draining', 2);
    await announce(leader, 'ready', 3);
    await waitFor(() => site.hasTextInAllFiles('workers.log', '"sequence":3'), 'all replicas know it as ready');
    await site.stop(leader);
    expect(await readStanding()).toBe('ready');
  });

  // It was acknowledged without effect: the server went on getting requests. Announcements may
  // arrive in another order than they were sent.
  it('should not be acknowledged if a later announcement says that the server is ready', async () => {
    const leader = await found();
    await announce(leader, 'ready', 7);
    expect(await announce(leader, 'draining', 5)).toBe(false);
    expect(await readStanding()).toBe('ready');
  });

  // An acknowledgement is a promise of the site: without a majority it must not be given.
  it('should not be acknowledged while no majority of the replicas answers', async () => {
    const leader = await found();
    await Promise.all(REPLICAS.filter((position) => position !== leader)
      .map((position) => site.stop(position)));
    expect(await announce(leader, 'draining', 2)).toBe(false);
  });
});
