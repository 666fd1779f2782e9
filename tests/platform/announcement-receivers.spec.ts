import {
  afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import { makeControlServer } from '../../platform/controlServer';
import { ControlSite, formatDocument, waitFor } from '../fakes/controlSite';

const REPLICAS = [0, 1, 2];
const OPERATOR_PORT = '7300';
/** Number of servers of a site whose leader would spend much time on their calls. */
const MANY_SERVERS = 45;
const LIMITS = { memoryMb: 256, maxFiles: 4_096 };

describe('the receiver of a server\'s announcements', () => {
  let site: ControlSite;
  let leader = -1;

  /** Sends the calls of servers to a replica; resolves with the addresses that it names. */
  const announceAll = async (position: number, count: number): Promise<(string | undefined)[]> => {
    const app = makeControlServer(() => site.findNode(position), OPERATOR_PORT, LIMITS);
    const answers = await Promise.all(Array.from({ length: count }, (unused, server) => app.inject({
      method: 'POST',
      url: `/v1/Instances.Heartbeat/w${server}`,
      headers: { 'content-type': 'application/json' },
      payload: {
        service: 'rooms', address: `10.0.0.${server}:80`, zone: 'a', slots: 6, state: 'ready', sequence: 1,
      },
    })));
    await app.close();
    expect(new Set(answers.map(({ statusCode }) => statusCode))).toEqual(new Set([200]));
    return answers.map(({ body }) => (
      JSON.parse(body) as { heartbeat_address?: string }).heartbeat_address);
  };

  beforeEach(async () => {
    site = await ControlSite.open(REPLICAS.length);
    await Promise.all(REPLICAS.map((position) => site.start(position, true)));
    leader = await site.waitForLeader();
    await site.findNode(leader).publish({
      document: formatDocument(1), deadlineMs: 3_000, forwarded: false,
    });
  });

  afterEach(() => site.close());

  // The leader of a site with a hundred servers spent much of its processor time on their calls,
  // while the other replicas had little to do.
  it('should be another replica than the leader if there are many servers', async () => {
    await announceAll(leader, MANY_SERVERS);
    const named = await announceAll(leader, MANY_SERVERS);
    expect(named).toEqual(Array.from({ length: MANY_SERVERS }, () => `127.0.0.1:${OPERATOR_PORT}`));
  });

  it('should not change if there are few servers', async () => {
    await announceAll(leader, 5);
    expect(await announceAll(leader, 5)).toEqual(Array.from({ length: 5 }, () => undefined));
  });

  it('should not change at a replica that does not lead', async () => {
    const follower = REPLICAS.find((position) => position !== leader) ?? -1;
    await announceAll(leader, MANY_SERVERS);
    expect(await announceAll(follower, 1)).toEqual([undefined]);
  });

  // A server was sent to a replica that was down, and stayed unheard until its call had failed.
  it('should not be a replica that is down', async () => {
    await announceAll(leader, MANY_SERVERS);
    const [down = -1, running = -1] = REPLICAS.filter((position) => position !== leader);
    await site.stop(down);
    const node = site.findNode(leader);
    const listReceivers = (): Set<string> => (
      new Set(Array.from({ length: 50 }, () => node.pickAnnouncementReceiver())));
    await waitFor(() => listReceivers().size === 1, 'only one replica is named');
    expect(listReceivers()).toEqual(new Set([site.getAddress(running)]));
  });
});
