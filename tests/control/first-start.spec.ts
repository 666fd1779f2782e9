import { setTimeout as pause } from 'node:timers/promises';
import {
  afterEach, describe, expect, it,
} from 'vitest';
import { ReplicaIdentity } from '../../src/control/replicaIdentity';
import { SeedFounding } from '../../src/control/seedFounding';
import type { MeetReply, Replica } from '../../src/protocol/generated/beechlift';
import { makeLogger } from '../../src/telemetry/logger';
import { ControlSite, formatDocument, waitFor } from '../fakes/controlSite';
import { PowerLossFileSystem } from '../fakes/powerLossFileSystem';

const ALL = [0, 1, 2];
const ADDRESSES = ['a', 'b', 'c'];

/** Replicas without a network, on empty disks; the settings of some declare a first start. */
const openFoundings = async (
  declared: readonly string[],
  listSeeds: (asker: string) => readonly string[],
  askOutsider: () => MeetReply | undefined = () => undefined,
) => {
  const foundings = new Map<string, SeedFounding>();
  const ids = await Promise.all(ADDRESSES.map(async (address) => {
    const files = new PowerLossFileSystem();
    files.isSyncImmediate = true;
    const identity = new ReplicaIdentity(files, 'data');
    await identity.open(declared.includes(address) ? ADDRESSES : []);
    const self: Replica = { id: identity.id, address, zone: 'a' };
    foundings.set(address, new SeedFounding({
      identity,
      self,
      readSeeds: () => listSeeds(address),
      askReplica: async (asked, request) => foundings.get(asked)?.answer(request) ?? askOutsider(),
      recordReplica: () => undefined,
      logger: makeLogger('founding', 'silent'),
    }));
    return identity.id;
  }));
  return { ids, foundings: [...foundings.values()] };
};

describe('the first start of a routed site', () => {
  let site: ControlSite | undefined;

  afterEach(async () => {
    await site?.close();
    site = undefined;
  });

  const listVoters = (started: ControlSite): string[] => ALL.map((position) => (
    started.findNode(position).runner.state.replicas.voters.map(({ id }) => id).join(' ')));

  const publish = (started: ControlSite, position: number, version: number) => (
    started.findNode(position)
      .publish({ document: formatDocument(version), deadlineMs: 3_000, forwarded: false }));

  // Fault: a replica that was killed before it had stored anything returns without the declaration
  // of a first start. It told the founders that it joins a site, so they joined one that no one had
  // founded, for good.
  it('should found a site if one replica was killed before anything was stored', async () => {
    const started = await ControlSite.open(3);
    site = started;
    await Promise.all(ALL.map((position) => started.start(position, position !== 2)));
    await started.waitForLeader();
    expect((await publish(started, 2, 4)).code).toBe(0);
    expect(new Set(listVoters(started)).size).toBe(1);
  });

  // Guards against a first start that is forgotten by a restart.
  it('should found a site if all replicas were killed once two had stored their identities', async () => {
    const started = await ControlSite.open(3);
    site = started;
    await started.storeIdentity(1);
    await started.storeIdentity(2);
    await Promise.all(ALL.map((position) => started.start(position, false)));
    await started.waitForLeader();
    expect((await publish(started, 0, 4)).code).toBe(0);
  });

  // Guards against a replica that is no seed and keeps the others from founding: it knows nothing
  // either.
  it('should take in a replica that starts for the first time with the founders', async () => {
    const started = await ControlSite.open(4);
    site = started;
    await Promise.all([...ALL, 3].map((position) => started.start(position, true)));
    const leader = await started.waitForLeader();
    const ownId = started.findNode(3).runner.state.id;
    await waitFor(() => (
      started.findNode(leader).runner.state.replicas.learners.some(({ id }) => id === ownId)
    ), 'it learns');
    expect(new Set(listVoters(started)).size).toBe(1);
  });

  // Guards against a second site: all machines lose power, and one its disk, which looks for the
  // site before the others run.
  it('should keep an existing site if a replica with an empty disk starts first', async () => {
    const started = await ControlSite.open(3);
    site = started;
    await Promise.all(ALL.map((position) => started.start(position, true)));
    const lost = await started.waitForLeader();
    await publish(started, 0, 7);
    const others = ALL.filter((position) => position !== lost);
    await started.eraseDisk(lost);
    await Promise.all(others.map((position) => started.stop(position)));
    const starting = started.start(lost, false);
    await pause(300);
    await Promise.all([starting, ...others.map((position) => started.start(position, false))]);
    await waitFor(() => {
      const { id: ownId, replicas: { voters } } = started.findNode(lost).runner.state;
      return voters.length === 3 && voters.some(({ id }) => id === ownId);
    }, 'the replica with an empty disk votes');
    expect((await started.findNode(lost).readLatestDocument()).version).toBe(7n);
  });

  // Guards against a change of the settings between the kill and the restart: they then name other
  // replicas.
  it('should found a site with a replica whose settings no longer name the founders', async () => {
    const { ids, foundings } = await openFoundings(['a', 'b'], (asker) => (asker === 'c' ? ['d', 'e'] : ADDRESSES));
    const lists = await Promise.all(foundings.map((founding) => founding.waitForFounders()));
    expect(lists.map((list) => list.map(({ id }) => id))).toEqual([ids, ids, ids]);
  });

  // Guards against a second site: without a declared first start, empty disks may be those of a
  // site that has lost them.
  it('should not found a site of replicas that were never told to, and join one once it is heard of', async () => {
    const member = { id: 'd1', address: 'd', zone: 'a' };
    let reply: MeetReply | undefined;
    const { foundings } = await openFoundings([], () => [...ADDRESSES, 'd'], () => reply);
    const lists: (readonly Replica[])[] = [];
    const waiting = foundings.map(async (founding) => {
      lists.push(await founding.waitForFounders());
    });
    await pause(400);
    expect(lists).toEqual([]);
    reply = {
      self: member, founded: true, founders: [member], leaderAddress: '',
    };
    await Promise.all(waiting);
    expect(lists).toEqual([[], [], []]);
  });
});
