import {
  afterEach, describe, expect, it,
} from 'vitest';
import { SoftState } from '../../src/control/softState';
import { makeEmptyLog } from '../../src/core/log/logState';
import {
  WatchReply as WatchReplyCodec, WatchRequest as WatchRequestCodec, WorkerAnnouncement,
} from '../../src/protocol/generated/beechlift';
import type { WatchReply, WatchRequest } from '../../src/protocol/generated/beechlift';
import { makeLogger } from '../../src/telemetry/logger';
import { systemClock } from '../../src/utils/clock';
import { HeldCalls } from '../../src/utils/heldCalls';
import { ControlSite, formatDocument, waitFor } from '../fakes/controlSite';

const REPLICAS = [0, 1, 2];

const ANNOUNCEMENT = WorkerAnnouncement.fromPartial({
  workerId: 'w1', service: 'rooms', address: '10.0.0.1:80', slots: 6, state: 'ready', sequence: 1, born: 5,
});

/** A watch request of a follower with the leader's reply, which is still on its way. */
interface LateReply {
  readonly request: WatchRequest;
  readonly reply: WatchReply;
}

describe('a reply to a follower that arrives after an election', () => {
  let site: ControlSite;

  const countReady = (position: number): number => (
    site.findNode(position).countWorkers().get('ready') ?? 0);

  /** Lets a follower ask a leader without applying the reply yet. */
  const askLeader = async (follower: number, leader: number): Promise<LateReply> => {
    const request = site.findNode(follower).buildFollowRequest(0);
    return { request, reply: await site.findNode(leader).watch(request) };
  };

  /** Founds a site whose replicas all know the server; returns the position of the leader. */
  const found = async (): Promise<number> => {
    site = await ControlSite.open(REPLICAS.length);
    await Promise.all(REPLICAS.map((position) => site.start(position, true)));
    const leader = await site.waitForLeader();
    await site.findNode(leader).publish({
      document: formatDocument(1), deadlineMs: 3_000, forwarded: false,
    });
    await site.findNode(leader).announce(ANNOUNCEMENT);
    await waitFor(() => REPLICAS.every((position) => countReady(position) === 1), 'all replicas know the server');
    return leader;
  };

  /** Ends the leader, and then the lease of its successor; returns the latter. */
  const electWithoutLease = async (former: number): Promise<number> => {
    await site.stop(former);
    const leader = await site.waitForLeader();
    const other = REPLICAS.find((position) => position !== former && position !== leader) ?? -1;
    await site.stop(other);
    await waitFor(() => !site.findNode(leader).isLeading, 'the lease lapses');
    return leader;
  };

  /** Lets a follower lead without a lease, and gets it the former leader's reply only then. */
  const electWithLateReply = async (
    former: number,
  ): Promise<{ leader: number; reply: WatchReply }> => {
    const replies = new Map(await Promise.all(REPLICAS
      .filter((position) => position !== former)
      .map(async (position) => [position, await askLeader(position, former)] as const)));
    const leader = await electWithoutLease(former);
    const { request, reply } = replies.get(leader) ?? {};
    if (!request || !reply) throw new Error('no reply was recorded');
    site.findNode(leader).follow(reply, request);
    return { leader, reply };
  };

  afterEach(() => site.close());

  // A leader that had no lease yet took the changes of its predecessor for its whole table: it lost
  // its servers, and entries went on sending requests to servers that had left.
  it('should not replace the table of a replica that leads by then', async () => {
    const former = await found();
    const { leader, reply } = await electWithLateReply(former);
    const { workersEpoch } = site.findNode(leader).buildFollowRequest(0);
    expect([countReady(leader), workersEpoch === reply.workersEpoch]).toEqual([1, false]);
  });

  // An entry sent requests to a server whose word that it leaves had been acknowledged: it had not
  // heard of that before the election, and the next leader renewed its lease without telling it.
  it('should not keep an entry from learning that a server left before the election', async () => {
    const former = await found();
    const held = await site.findNode(former).watch(WatchRequestCodec.fromPartial({ entryId: 'e1' }));
    const { taken } = await site.findNode(former)
      .announce({ ...ANNOUNCEMENT, state: 'draining', sequence: 2 });
    await waitFor(() => REPLICAS.every((position) => countReady(position) === 0), 'all replicas know that it leaves');
    await electWithLateReply(former);
    await site.start(former, false);
    await waitFor(() => site.findLeader() !== undefined, 'a replica leads with a lease');
    const next = await site.findNode(site.findLeader() ?? -1).watch(WatchRequestCodec.fromPartial({
      entryId: 'e1', workersEpoch: held.workersEpoch, workersRevision: held.workersRevision,
    }));
    const told = next.workers.map(({ said, standing }) => [said?.workerId, standing]);
    expect([taken, next.leaseMs > 0, told]).toEqual([true, true, [['w1', 'draining']]]);
  });
});

describe('the state that a follower copies', () => {
  const makeState = (): SoftState => new SoftState({
    stored: makeEmptyLog({ voters: [], learners: [], leaving: [] }),
    cachedWorkers: [],
    workerCache: { saveIfChanged: () => undefined },
    cachedSuspects: [],
    suspectCache: { saveIfChanged: () => undefined },
    clock: systemClock,
    logger: makeLogger('test', 'silent'),
    watches: new HeldCalls(),
    countEntries: () => 1,
  });

  /** Builds the part of a leader's reply that depends on its servers. */
  const buildReply = ({ registry }: SoftState, request: WatchRequest): WatchReply => (
    WatchReplyCodec.fromPartial({ leaseMs: 1, ...registry.buildPart(request) }));

  // A replica that led for a moment took changes of a table that it no longer held for all of it.
  it('should stay complete if the replica led between its request and the reply', () => {
    const [leader, follower] = [makeState(), makeState()];
    leader.registry.applyAnnouncement(ANNOUNCEMENT);
    const first = follower.buildFollowRequest('', 0);
    follower.applyReply(buildReply(leader, first), first);
    const second = follower.buildFollowRequest('', 0);
    const late = buildReply(leader, second);
    follower.startLeading();
    follower.applyReply(late, second);
    expect([...follower.registry.table.workers.keys()]).toEqual([ANNOUNCEMENT.workerId]);
  });
});
