import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { WorkerRegistry } from '../../src/control/workerRegistry';
import { adoptRecord, listChangedWorkers, needsRecord } from '../../src/core/routing/workerRecords';
import { applyAnnouncement, makeWorkerTable } from '../../src/core/routing/workerTable';
import type { WorkerTable } from '../../src/core/routing/workerTable';
import { makePlacementTables } from '../../src/core/routing/makePlacementTables';
import { requestSlots } from '../../src/core/routing/placement';
import { applyPlacementUpdate } from '../../src/core/routing/placementUpdates';
import { applyRecords, makeRoutedWorkers, suspendWorker } from '../../src/core/routing/routedWorkers';
import { WatchReply, WorkerAnnouncement, WorkerRecord } from '../../src/protocol/generated/beechlift';
import { makeLogger } from '../../src/telemetry/logger';
import { HeldCalls } from '../../src/utils/heldCalls';

const START_TIME = 1_764_722_000_000;

const makeAnnouncement = (fields: Partial<WorkerAnnouncement>): WorkerAnnouncement => (
  WorkerAnnouncement.fromPartial({
    workerId: 'w1', service: 'rooms', address: '10.0.0.1:80', zone: 'a', slots: 6, state: 'ready', sequence: 1, born: START_TIME, ...fields,
  }));

const read = (table: WorkerTable, id = 'w1') => {
  const worker = table.workers.get(id);
  return worker && [worker.said.born - START_TIME, worker.standing];
};

describe('a server whose software changes under the same id', () => {
  // Without a start time, only the version tells that another process runs. A stream of the earlier
  // one must not continue at it, nor count as begun by the later version.
  it('should count as another server', () => {
    const table = makeWorkerTable('e');
    const workers = makeRoutedWorkers();
    const announce = (software: string, sequence: number) => {
      applyAnnouncement(table, makeAnnouncement({ software, sequence, born: 0 }), sequence);
      applyRecords(workers, listChangedWorkers(table, '', 0), sequence);
      return [...workers.byId.values()][0];
    };
    const earlier = announce('v1', 1);
    const later = announce('v2', 2);
    expect([earlier?.software, later?.software]).toEqual(['v1', 'v2']);
    expect(later).not.toBe(earlier);
    expect(table.revision).toBe(2);
  });
});

describe('a deregistration without a start time, of a server that the leader does not know', () => {
  const removeUnknown = (): WorkerTable => {
    const table = makeWorkerTable('e');
    applyAnnouncement(table, WorkerAnnouncement.fromPartial({ workerId: 'w1', state: 'gone' }), 0);
    return table;
  };

  // Servers that had left were ready again: a late announcement, or the record that another replica
  // had cached, counted as that of a later incarnation.
  it('should not be outweighed by a late announcement or a cached record', () => {
    const table = removeUnknown();
    const record = WorkerRecord.fromPartial({ said: makeAnnouncement({ sequence: 7 }), standing: 'ready' });
    const isNeeded = needsRecord(table, record);
    applyAnnouncement(table, makeAnnouncement({ sequence: 8 }), 1_000);
    expect([isNeeded, table.workers.get('w1')?.standing]).toEqual([false, 'gone']);
  });

  it('should be outweighed by a server that goes on announcing itself', () => {
    const table = removeUnknown();
    [1_000, 2_200, 3_400, 4_600].forEach((now, position) => (
      applyAnnouncement(table, makeAnnouncement({ sequence: 1 + position }), now)));
    expect(table.workers.get('w1')?.standing).toBe('ready');
  });
});

describe('backend server that restarts under its id', () => {
  /*
   * A server crashes and restarts a second later under the same id. It numbers its announcements
   * from one again. If they all count as late, the server gets no requests until its numbers exceed
   * the earlier ones.
   */
  it('should be accepted at its first announcement, whatever its sequence number', () => {
    const table = makeWorkerTable('e');
    applyAnnouncement(table, makeAnnouncement({ sequence: 90 }), 0);
    const { revision } = table;
    applyAnnouncement(table, makeAnnouncement({ born: START_TIME + 5, address: '10.0.0.1:81' }), 10);
    expect(read(table)).toEqual([5, 'ready']);
    expect(listChangedWorkers(table, 'e', revision)).toHaveLength(1);
    expect(table.ownerIds.has('10.0.0.1:80')).toBe(false);
  });

  // A deregistration must not keep the next incarnation from announcing itself.
  it('should be accepted after a deregistration of the earlier incarnation', () => {
    const table = makeWorkerTable('e');
    applyAnnouncement(table, makeAnnouncement({ sequence: 90 }), 0);
    applyAnnouncement(table, makeAnnouncement({ state: 'gone', sequence: 0, address: '' }), 10);
    expect(read(table)).toEqual([0, 'gone']);
    applyAnnouncement(table, makeAnnouncement({ born: START_TIME + 5 }), 20);
    expect(read(table)).toEqual([5, 'ready']);
  });

  /*
   * Delayed announcements of the earlier incarnation arrive after the first ones of the new one,
   * with higher sequence numbers and an outdated state. Requests to a ready server must not stop.
   */
  it('should ignore late announcements and a late deregistration of its earlier incarnation', () => {
    const table = makeWorkerTable('e');
    applyAnnouncement(table, makeAnnouncement({ sequence: 90 }), 0);
    applyAnnouncement(table, makeAnnouncement({ born: START_TIME + 5 }), 10);
    applyAnnouncement(table, makeAnnouncement({ sequence: 91, state: 'draining' }), 20);
    applyAnnouncement(table, makeAnnouncement({ state: 'gone', sequence: 0, address: '' }), 30);
    expect(read(table)).toEqual([5, 'ready']);
  });

  /*
   * A deregistration without a start time may belong to the new or the earlier incarnation. The
   * server gets no requests until its next announcement, instead of being gone for good.
   */
  it('should only pause for a deregistration without a start time that may be outdated', () => {
    const table = makeWorkerTable('e');
    applyAnnouncement(table, makeAnnouncement({ sequence: 90 }), 0);
    applyAnnouncement(table, makeAnnouncement({ born: START_TIME + 5 }), 10);
    applyAnnouncement(table, makeAnnouncement({
      born: 0, state: 'gone', sequence: 0, address: '',
    }), 20);
    expect(read(table)).toEqual([5, 'draining']);
    applyAnnouncement(table, makeAnnouncement({ born: START_TIME + 5, sequence: 2 }), 1_200);
    expect(read(table)).toEqual([5, 'ready']);
    applyAnnouncement(table, makeAnnouncement({
      born: 0, state: 'gone', sequence: 0, address: '',
    }), 60_000);
    expect(read(table)).toEqual([5, 'gone']);
  });

  it('should ignore an announcement without a start time', () => {
    const table = makeWorkerTable('e');
    applyAnnouncement(table, makeAnnouncement({ sequence: 2 }), 0);
    applyAnnouncement(table, makeAnnouncement({ born: 0, sequence: 9, state: 'draining' }), 10);
    expect(read(table)).toEqual([0, 'ready']);
  });

  /*
   * The server's clock goes back between its incarnations, so the later one has an earlier start
   * time. If its announcements are all ignored, it gets no requests.
   */
  it('should be accepted although its clock went back, once the earlier incarnation is silent', () => {
    const table = makeWorkerTable('e');
    applyAnnouncement(table, makeAnnouncement({ sequence: 90 }), 0);
    [1, 2, 3, 4].forEach((sequence) => (
      applyAnnouncement(
        table,
        makeAnnouncement({ born: START_TIME - 2_400, sequence }),
        1_000 + sequence * 1_200,
      )));
    expect(read(table)).toEqual([-2_400, 'ready']);
    applyAnnouncement(table, makeAnnouncement({ sequence: 91 }), 6_000);
    expect(read(table)).toEqual([-2_400, 'ready']);
  });

  /*
   * A network partition heals, and all announcements that an earlier incarnation sent during it
   * arrive at once. The table has never seen that incarnation, but must not take it for a newer one
   * and exclude the running server.
   */
  it('should not be replaced by an earlier incarnation whose announcements arrive all at once', () => {
    const table = makeWorkerTable('e');
    applyAnnouncement(table, makeAnnouncement({ sequence: 1 }), 0);
    [5, 6, 7, 8].forEach((sequence) => (
      applyAnnouncement(table, makeAnnouncement({ born: START_TIME - 9_000, sequence }), 100)));
    applyAnnouncement(table, makeAnnouncement({ sequence: 2 }), 1_200);
    applyAnnouncement(table, makeAnnouncement({ born: START_TIME - 9_000, sequence: 9 }), 5_000);
    expect(read(table)).toEqual([0, 'ready']);
  });

  /*
   * A follower has seen the newer incarnation. After a change of leader, an old record must not
   * bring the earlier incarnation back.
   */
  it('should keep superseded incarnations in records that other replicas adopt', () => {
    const [leading, following] = [makeWorkerTable('a'), makeWorkerTable('b')];
    applyAnnouncement(leading, makeAnnouncement({ sequence: 90 }), 0);
    const [outdated] = listChangedWorkers(leading, '', 0);
    applyAnnouncement(leading, makeAnnouncement({ born: START_TIME + 5 }), 10);
    listChangedWorkers(leading, '', 0).forEach((record) => adoptRecord(following, record, 20));
    adoptRecord(following, outdated as never, 30);
    applyAnnouncement(following, makeAnnouncement({ sequence: 91 }), 40);
    expect(read(following)).toEqual([5, 'ready']);
  });

  /*
   * A slow server crashes with all its slots taken, and restarts empty and fast. Its slots must not
   * count as taken until the deadlines of its earlier requests, and it must not stay suspended.
   */
  it('should start with all its slots free and without statistics', () => {
    const workers = makeRoutedWorkers();
    const tables = makePlacementTables(workers);
    const table = makeWorkerTable('e');
    const update = () => applyRecords(workers, listChangedWorkers(table, '', 0), 0);
    const makeRequest = (id: string) => ({
      id, entryId: 'e1', service: 'rooms', rank: 0, promptTokens: 100, outputTokens: 20, targetMs: 500, deadlineAt: 10_000, zone: 'a', tried: [], askedAt: 0,
    });
    applyAnnouncement(table, makeAnnouncement({ slots: 2, sequence: 50 }), 0);
    update();
    requestSlots(tables, [makeRequest('r1'), makeRequest('r2')], 0);
    suspendWorker(workers.byId.get('w1') as never, 5);
    applyAnnouncement(table, makeAnnouncement({ slots: 2, born: START_TIME + 5 }), 10);
    update();
    const decisions = requestSlots(tables, [makeRequest('r3'), makeRequest('r4')], 20);
    expect(decisions.map(({ kind }) => kind)).toEqual(['grant', 'grant']);
    // The request of the earlier incarnation ends now and releases no slot of the new one.
    applyPlacementUpdate(tables, {
      id: 'r1', phase: 'unreached', paceMs: 0, firstEventMs: 0, outputMs: 0,
    }, 30);
    expect(workers.byId.get('w1'))
      .toMatchObject({ inFlight: 2, suspendedUntil: 0, failureShare: 0 });
  });
});

/** An event of the server or its announcements. */
type Step = 'announce' | 'delay' | 'deliverDelayed' | 'restart' | 'restartWithEarlierClock' | 'announceWithoutStartTime' | 'deregister' | 'changeLeader';

const STEPS: readonly Step[] = ['announce', 'delay', 'deliverDelayed', 'restart', 'restartWithEarlierClock', 'announceWithoutStartTime', 'deregister', 'changeLeader'];
const ANNOUNCE_INTERVAL_MS = 1_200;

/** A server, two replicas that receive its announcements, and announcements still in flight. */
class IncarnationModel {
  now = 0;

  born = START_TIME;

  private latestStart = START_TIME;

  private sequence = 0;

  /** Start times in the order in which the leader accepted them. */
  readonly acceptedStarts: number[] = [];

  readonly deregistered = new Set<number>();

  private readonly delayed: WorkerAnnouncement[] = [];

  private replicas = [this.makeRegistry(), this.makeRegistry()] as const;

  constructor() {
    this.announce();
  }

  get table(): WorkerTable {
    return this.replicas[0].table;
  }

  announce(): void {
    this.sequence += 1;
    this.deliver(makeAnnouncement({ born: this.born, sequence: this.sequence }));
  }

  readonly steps: Record<Step, () => void> = {
    announce: () => this.announce(),
    delay: () => {
      this.sequence += 1;
      this.delayed.push(makeAnnouncement({ born: this.born, sequence: this.sequence }));
    },
    deliverDelayed: () => this.delayed.splice(0).forEach((said) => this.deliver(said)),
    restart: () => this.restart(this.latestStart + 1 + (this.now % 977)),
    restartWithEarlierClock: () => this.restart(START_TIME - 1 - this.now),
    announceWithoutStartTime: () => this.deliver(makeAnnouncement({ born: 0, sequence: 1e6, state: 'draining' })),
    deregister: () => {
      if (this.born < this.latestStart) return;
      this.deregistered.add(this.born);
      this.deliver(makeAnnouncement({
        born: this.born, state: 'gone', sequence: 0, address: '',
      }));
      this.restart(this.latestStart + 1);
    },
    changeLeader: () => {
      this.replicas = [this.replicas[1], this.replicas[0]];
      this.replicas[0].startLeading();
    },
  };

  /** Lets only the running incarnation announce itself until it is accepted at any start time. */
  settle(): void {
    Array.from({ length: 4 }).forEach(() => this.run('announce'));
  }

  run(step: Step): void {
    this.now += ANNOUNCE_INTERVAL_MS;
    this.steps[step]();
  }

  /** Restarts the server. Each incarnation is seen: an unseen one cannot be distinguished. */
  private restart(born: number): void {
    this.born = born;
    this.latestStart = Math.max(this.latestStart, born);
    this.sequence = 0;
    this.settle();
  }

  private deliver(said: WorkerAnnouncement): void {
    const [leader, follower] = this.replicas;
    leader.applyAnnouncement(said);
    follower.applyReply(WatchReply.fromPartial(leader.buildPart({ workersEpoch: '', workersRevision: 0 } as never)));
    const { born } = this.table.workers.get('w1')?.said ?? { born: 0 };
    if (this.acceptedStarts.at(-1) !== born) this.acceptedStarts.push(born);
  }

  private makeRegistry(): WorkerRegistry {
    return new WorkerRegistry({
      cachedWorkers: [],
      workerCache: { saveIfChanged: () => undefined },
      clock: { now: () => this.now },
      logger: makeLogger('test', 'silent'),
      watches: new HeldCalls(),
      countEntries: () => 6,
    });
  }
}

describe('incarnations of a server, in any order of announcements, restarts and changes of leader', () => {
  it('should never restore a superseded incarnation, and end with the running one', () => {
    fc.assert(fc.property(fc.array(fc.constantFrom(...STEPS), { maxLength: 40 }), (steps) => {
      const model = new IncarnationModel();
      steps.forEach((step) => model.run(step));
      expect(new Set(model.acceptedStarts).size).toBe(model.acceptedStarts.length);
      model.settle();
      expect(read(model.table)).toEqual([model.born - START_TIME, 'ready']);
      model.run('deliverDelayed');
      expect(model.table.workers.get('w1')?.said.born).toBe(model.born);
      expect(model.deregistered.has(model.born)).toBe(false);
    }), { numRuns: 400 });
  });
});
