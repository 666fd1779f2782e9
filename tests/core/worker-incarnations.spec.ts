import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { WorkerRegistry } from '../../src/control/workerRegistry';
import {
  adoptRecord, listChangedWorkers, makeWorkerTable, applyAnnouncement,
} from '../../src/core/routing/workerTable';
import type { WorkerTable } from '../../src/core/routing/workerTable';
import { requestSlots, makePlacementTables, applyPlacementUpdate } from '../../src/core/routing/placement';
import { applyRecords, makeRoutedWorkers, suspendWorker } from '../../src/core/routing/routedWorkers';
import { WatchReply, WorkerAnnouncement } from '../../src/protocol/generated/beechlift';
import { makeLogger } from '../../src/telemetry/logger';
import { HeldCalls } from '../../src/utils/heldCalls';

const BIRTH = 1_764_722_000_000;

const say = (fields: Partial<WorkerAnnouncement>): WorkerAnnouncement => (
  WorkerAnnouncement.fromPartial({
    workerId: 'w1', service: 'rooms', address: '10.0.0.1:80', zone: 'a', slots: 6, state: 'ready', sequence: 1, born: BIRTH, ...fields,
  }));

const read = (table: WorkerTable, id = 'w1') => {
  const worker = table.workers.get(id);
  return worker && [worker.said.born - BIRTH, worker.standing];
};

describe('a backend server that starts again under its id', () => {
  /*
   * A server crashes and is back a second later under the same id. It counts its announcements from
   * one again, so all of them were taken for late ones, and it got no work until its count had
   * passed the one before.
   */
  it('should be taken in at its first announcement, whatever its count', () => {
    const table = makeWorkerTable('e');
    applyAnnouncement(table, say({ sequence: 90 }), 0);
    const { revision } = table;
    applyAnnouncement(table, say({ born: BIRTH + 5, address: '10.0.0.1:81' }), 10);
    expect(read(table)).toEqual([5, 'ready']);
    expect(listChangedWorkers(table, 'e', revision)).toHaveLength(1);
    expect(table.ownerIds.has('10.0.0.1:80')).toBe(false);
  });

  // The server had taken its leave, and was gone for good whatever it said after its next start.
  it('should be taken in after the start before has left', () => {
    const table = makeWorkerTable('e');
    applyAnnouncement(table, say({ sequence: 90 }), 0);
    applyAnnouncement(table, say({ state: 'gone', sequence: 0, address: '' }), 10);
    expect(read(table)).toEqual([0, 'gone']);
    applyAnnouncement(table, say({ born: BIRTH + 5 }), 20);
    expect(read(table)).toEqual([5, 'ready']);
  });

  /*
   * What the start before sent was held up and comes after the new start's first words, with a
   * higher count and an older state. Work stopped going to a server that was ready.
   */
  it('should not be spoken for by its earlier start, whose farewell comes late', () => {
    const table = makeWorkerTable('e');
    applyAnnouncement(table, say({ sequence: 90 }), 0);
    applyAnnouncement(table, say({ born: BIRTH + 5 }), 10);
    applyAnnouncement(table, say({ sequence: 91, state: 'draining' }), 20);
    applyAnnouncement(table, say({ state: 'gone', sequence: 0, address: '' }), 30);
    expect(read(table)).toEqual([5, 'ready']);
  });

  /*
   * The farewell names no start. It may be the new start's or the one before's: no work goes there,
   * and the new start is back with its next announcement instead of being gone for good.
   */
  it('should only pause for a farewell without a start that may be the one before\'s', () => {
    const table = makeWorkerTable('e');
    applyAnnouncement(table, say({ sequence: 90 }), 0);
    applyAnnouncement(table, say({ born: BIRTH + 5 }), 10);
    applyAnnouncement(table, say({
      born: 0, state: 'gone', sequence: 0, address: '',
    }), 20);
    expect(read(table)).toEqual([5, 'draining']);
    applyAnnouncement(table, say({ born: BIRTH + 5, sequence: 2 }), 1_200);
    expect(read(table)).toEqual([5, 'ready']);
    applyAnnouncement(table, say({
      born: 0, state: 'gone', sequence: 0, address: '',
    }), 60_000);
    expect(read(table)).toEqual([5, 'gone']);
  });

  it('should not be spoken for by an announcement that names no start', () => {
    const table = makeWorkerTable('e');
    applyAnnouncement(table, say({ sequence: 2 }), 0);
    applyAnnouncement(table, say({ born: 0, sequence: 9, state: 'draining' }), 10);
    expect(read(table)).toEqual([0, 'ready']);
  });

  /*
   * The server's clock went back between its starts, so the later one was born earlier. Nothing it
   * said was believed, and it got no work.
   */
  it('should be taken in although its clock went back, once the start before is silent', () => {
    const table = makeWorkerTable('e');
    applyAnnouncement(table, say({ sequence: 90 }), 0);
    [1, 2, 3, 4].forEach((sequence) => (
      applyAnnouncement(table, say({ born: BIRTH - 2_400, sequence }), 1_000 + sequence * 1_200)));
    expect(read(table)).toEqual([-2_400, 'ready']);
    applyAnnouncement(table, say({ sequence: 91 }), 6_000);
    expect(read(table)).toEqual([-2_400, 'ready']);
  });

  /*
   * A cut heals, and all that an earlier start had sent behind it comes at once. The table had
   * never heard that start, took it for the newer one, and the server that ran was shut out.
   */
  it('should not give way to an earlier start whose announcements all come at once', () => {
    const table = makeWorkerTable('e');
    applyAnnouncement(table, say({ sequence: 1 }), 0);
    [5, 6, 7, 8].forEach((sequence) => (
      applyAnnouncement(table, say({ born: BIRTH - 9_000, sequence }), 100)));
    applyAnnouncement(table, say({ sequence: 2 }), 1_200);
    applyAnnouncement(table, say({ born: BIRTH - 9_000, sequence: 9 }), 5_000);
    expect(read(table)).toEqual([0, 'ready']);
  });

  /*
   * The replica that follows had heard the newer start, the one that led had not. After a change of
   * leader the older start's record came back with it.
   */
  it('should stay superseded in what other replicas take over', () => {
    const [leading, following] = [makeWorkerTable('a'), makeWorkerTable('b')];
    applyAnnouncement(leading, say({ sequence: 90 }), 0);
    const [early] = listChangedWorkers(leading, '', 0);
    applyAnnouncement(leading, say({ born: BIRTH + 5 }), 10);
    listChangedWorkers(leading, '', 0).forEach((record) => adoptRecord(following, record, 20));
    adoptRecord(following, early as never, 30);
    applyAnnouncement(following, say({ sequence: 91 }), 40);
    expect(read(following)).toEqual([5, 'ready']);
  });

  /*
   * A slow server crashes with all its slots taken, and comes back empty and fast. Its slots
   * counted as taken until the deadlines of what it had held, and it was left alone as unreachable.
   */
  it('should begin with all its slots free and nothing learnt', () => {
    const workers = makeRoutedWorkers();
    const tables = makePlacementTables(workers);
    const table = makeWorkerTable('e');
    const inform = () => applyRecords(workers, listChangedWorkers(table, '', 0));
    const ask = (id: string) => ({
      id, entryId: 'e1', service: 'rooms', rank: 0, promptTokens: 100, outputTokens: 20, targetMs: 500, deadlineAt: 10_000, zone: 'a', tried: [], askedAt: 0,
    });
    applyAnnouncement(table, say({ slots: 2, sequence: 50 }), 0);
    inform();
    requestSlots(tables, [ask('r1'), ask('r2')], 0);
    suspendWorker(workers.byId.get('w1') as never, 5);
    applyAnnouncement(table, say({ slots: 2, born: BIRTH + 5 }), 10);
    inform();
    const decisions = requestSlots(tables, [ask('r3'), ask('r4')], 20);
    expect(decisions.map(({ kind }) => kind)).toEqual(['grant', 'grant']);
    // What the start before held ends now, and frees none of the new start's slots.
    applyPlacementUpdate(tables, {
      id: 'r1', phase: 'unreached', paceMs: 0, firstEventMs: 0, outputMs: 0,
    }, 30);
    expect(workers.byId.get('w1'))
      .toMatchObject({ inFlight: 2, suspendedUntil: 0, failureShare: 0 });
  });
});

/** One thing that happens to the server or its announcements. */
type Step = 'beat' | 'lateBeat' | 'deliverLate' | 'restart' | 'restartEarlierBorn' | 'forge' | 'farewell' | 'changeLeader';

const STEPS: readonly Step[] = ['beat', 'lateBeat', 'deliverLate', 'restart', 'restartEarlierBorn', 'forge', 'farewell', 'changeLeader'];
const BEAT_MS = 1_200;

/** A server, two replicas that hear of it, and what is still on its way. */
class StartsModel {
  now = 0;

  born = BIRTH;

  private highest = BIRTH;

  private sequence = 0;

  /** Births in the order in which the leader took them in. */
  readonly taken: number[] = [];

  readonly left = new Set<number>();

  private readonly late: WorkerAnnouncement[] = [];

  private replicas = [this.makeRegistry(), this.makeRegistry()] as const;

  constructor() {
    this.beat();
  }

  get table(): WorkerTable {
    return this.replicas[0].table;
  }

  beat(): void {
    this.sequence += 1;
    this.takeIn(say({ born: this.born, sequence: this.sequence }));
  }

  readonly steps: Record<Step, () => void> = {
    beat: () => this.beat(),
    lateBeat: () => {
      this.sequence += 1;
      this.late.push(say({ born: this.born, sequence: this.sequence }));
    },
    deliverLate: () => this.late.splice(0).forEach((said) => this.takeIn(said)),
    restart: () => this.restart(this.highest + 1 + (this.now % 977)),
    restartEarlierBorn: () => this.restart(BIRTH - 1 - this.now),
    forge: () => this.takeIn(say({ born: 0, sequence: 1e6, state: 'draining' })),
    farewell: () => {
      if (this.born < this.highest) return;
      this.left.add(this.born);
      this.takeIn(say({
        born: this.born, state: 'gone', sequence: 0, address: '',
      }));
      this.restart(this.highest + 1);
    },
    changeLeader: () => {
      this.replicas = [this.replicas[1], this.replicas[0]];
      this.replicas[0].startLeading();
    },
  };

  /** The live start is heard by itself for long enough to be believed whatever its birth. */
  settle(): void {
    Array.from({ length: 4 }).forEach(() => this.run('beat'));
  }

  run(step: Step): void {
    this.now += BEAT_MS;
    this.steps[step]();
  }

  /** A start is heard before it is over: that none ever was, is beyond what can be told apart. */
  private restart(born: number): void {
    this.born = born;
    this.highest = Math.max(this.highest, born);
    this.sequence = 0;
    this.settle();
  }

  private takeIn(said: WorkerAnnouncement): void {
    const [leader, follower] = this.replicas;
    leader.applyAnnouncement(said);
    follower.applyReply(WatchReply.fromPartial(leader.buildPart({ workersEpoch: '', workersRevision: 0 } as never)));
    const { born } = this.table.workers.get('w1')?.said ?? { born: 0 };
    if (this.taken.at(-1) !== born) this.taken.push(born);
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

describe('starts of a server, in any order of announcements, restarts and changes of leader', () => {
  it('should never bring a start back that was superseded, and end with the one that runs', () => {
    fc.assert(fc.property(fc.array(fc.constantFrom(...STEPS), { maxLength: 40 }), (steps) => {
      const model = new StartsModel();
      steps.forEach((step) => model.run(step));
      expect(new Set(model.taken).size).toBe(model.taken.length);
      model.settle();
      expect(read(model.table)).toEqual([model.born - BIRTH, 'ready']);
      model.run('deliverLate');
      expect(model.table.workers.get('w1')?.said.born).toBe(model.born);
      expect(model.left.has(model.born)).toBe(false);
    }), { numRuns: 400 });
  });
});
