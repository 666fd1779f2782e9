import { describe, expect, it } from 'vitest';
import { listChangedWorkers } from '../../src/core/routing/workerRecords';
import { applyAnnouncement, makeWorkerTable } from '../../src/core/routing/workerTable';
import type { WorkerTable } from '../../src/core/routing/workerTable';
import { WatchReply, WorkerAnnouncement } from '../../src/protocol/generated/beechlift';
import type { WatchRequest } from '../../src/protocol/generated/beechlift';
import { RelaySite } from '../../src/relay/relaySite';
import { makeLogger } from '../../src/telemetry/logger';
import { SuspensionDetector } from '../../src/utils/clock';
import { makeRouting } from '../fakes/routings';

const LEAVING = 'i-1';
const OTHER = 'i-2';

/** A leader's table of servers, and the replies that it gives. */
class FakeLeader {
  private readonly table: WorkerTable;

  constructor(epoch: string) {
    this.table = makeWorkerTable(epoch);
  }

  announce(workerId: string, state: string, sequence: number, born = 5): void {
    applyAnnouncement(this.table, WorkerAnnouncement.fromPartial({
      workerId, service: 'rooms', address: `${workerId}:80`, slots: 1, state, sequence, born,
    }), 0);
  }

  answer({ workersEpoch, workersRevision }: WatchRequest): WatchReply {
    return WatchReply.fromPartial({
      leaseMs: 2_300,
      documentDigest: 'd',
      documentVersion: '1',
      document: 'd',
      workersEpoch: this.table.epoch,
      workersRevision: this.table.revision,
      workers: listChangedWorkers(this.table, workersEpoch, workersRevision),
    });
  }
}

const makeEntry = () => {
  const clock = { now: () => 0 };
  const suspension = new SuspensionDetector(clock, () => 0);
  const site = new RelaySite({
    entryId: 'e1',
    callerAddress: '',
    zone: 'a',
    readRouting: () => ({ routing: makeRouting({}), faults: [] }),
    clock,
    suspension,
    logger: makeLogger('test', 'silent'),
    retryBounds: { ratio: 0.2, slack: 1_000, windowMs: 10_000 },
  });
  return {
    request: () => site.buildWatchRequest(0),
    apply: (reply: WatchReply, sentAt: number, asked?: WatchRequest): void => (
      site.applyReply(reply, sentAt, 0, asked?.workersEpoch)),
    readLeaseMs: () => site.leaseLeftMs,
    readStanding: (workerId = LEAVING) => site.workers.byId.get(workerId)?.standing,
  };
};

describe('replies of control to an entry', () => {
  // A server that had said that it leaves got requests: the late reply of an earlier leader made it
  // ready again, and the next reply of the new leader held only what had changed since its last.
  it('should keep a leaving server from new requests when an earlier leader answers late', () => {
    const [earlier, later] = [new FakeLeader('x'), new FakeLeader('y')];
    const { apply, request, readStanding } = makeEntry();
    earlier.announce(LEAVING, 'ready', 1);
    const lateReply = earlier.answer(request());
    later.announce(LEAVING, 'draining', 2);
    apply(later.answer(request()), 1);
    const openRequest = request();
    apply(lateReply, 0);
    later.announce(OTHER, 'ready', 1);
    apply(later.answer(openRequest), 2, openRequest);
    expect(readStanding()).toBe('draining');
    expect(readStanding(OTHER)).toBe('ready');
  });

  // The same with one leader: an entry reports its state beside the request that the leader holds.
  it('should keep a leaving server from new requests when replies arrive in reverse order', () => {
    const leader = new FakeLeader('x');
    const { apply, request, readStanding } = makeEntry();
    leader.announce(LEAVING, 'ready', 1);
    const lateReply = leader.answer(request());
    leader.announce(LEAVING, 'draining', 2);
    apply(leader.answer(request()), 1);
    const openRequest = request();
    apply(lateReply, 0);
    leader.announce(OTHER, 'ready', 1);
    apply(leader.answer(openRequest), 2, openRequest);
    expect(readStanding()).toBe('draining');
    expect(readStanding(OTHER)).toBe('ready');
  });

  // An entry had a lease for a table that it did not hold: changes since a revision of a table that
  // was replaced meanwhile can't be applied.
  it('should get no lease for changes of a table that it no longer holds', () => {
    const [earlier, later] = [new FakeLeader('x'), new FakeLeader('y')];
    const { apply, request, readLeaseMs } = makeEntry();
    earlier.announce(LEAVING, 'ready', 1);
    apply(earlier.answer(request()), 0);
    const openRequest = request();
    later.announce(OTHER, 'ready', 1);
    apply(later.answer(request()), 2);
    earlier.announce(LEAVING, 'draining', 2);
    apply(earlier.answer(openRequest), 5_000, openRequest);
    expect(readLeaseMs()).toBe(2_302);
    expect(request().workersEpoch).toBe('y');
  });

  // The same with a new leader whose copy of the table is older than what the entry holds.
  it.each(['draining', 'gone'])('should keep a server from new requests when a new leader does not know it as %s', (state) => {
    const [earlier, later] = [new FakeLeader('x'), new FakeLeader('y')];
    const { apply, request, readStanding } = makeEntry();
    [earlier, later].forEach((leader) => leader.announce(LEAVING, 'ready', 1));
    apply(earlier.answer(request()), 0);
    earlier.announce(LEAVING, state, 2);
    apply(earlier.answer(request()), 1);
    apply(later.answer(request()), 2);
    expect(readStanding()).not.toBe('ready');
  });

  it('should take a new start under the id of a server that is gone as ready', () => {
    const leader = new FakeLeader('x');
    const { apply, request, readStanding } = makeEntry();
    leader.announce(LEAVING, 'ready', 1);
    leader.announce(LEAVING, 'gone', 2);
    apply(leader.answer(request()), 0);
    leader.announce(LEAVING, 'ready', 1, 6);
    apply(leader.answer(request()), 1);
    expect(readStanding()).toBe('ready');
  });

  it('should take a server that has come back under its id as ready', () => {
    const leader = new FakeLeader('x');
    const { apply, request, readStanding } = makeEntry();
    leader.announce(LEAVING, 'ready', 1);
    leader.announce(LEAVING, 'draining', 2);
    apply(leader.answer(request()), 0);
    leader.announce(LEAVING, 'ready', 3);
    apply(leader.answer(request()), 1);
    expect(readStanding()).toBe('ready');
  });
});
