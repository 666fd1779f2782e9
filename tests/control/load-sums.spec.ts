import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { LoadPacker } from '../../src/control/loadPacker';
import { LoadSums } from '../../src/control/loadSums';
import { applyRecords, makeRoutedWorkers } from '../../src/core/routing/routedWorkers';
import { applyLoads } from '../../src/core/routing/workerLoads';
import { LoadList, WorkerLoad, WorkerRecord } from '../../src/protocol/generated/beechlift';

const ENTRIES = ['e1', 'e2', 'e3'];
const SERVERS = ['w1', 'w2', 'w3'];

const drawLoads = fc.uniqueArray(
  fc.record({
    workerId: fc.constantFrom(...SERVERS),
    inFlight: fc.nat(5),
    tokens: fc.nat(900),
    slowness: fc.constantFrom(0, 1_000, 2_500),
  }),
  { selector: ({ workerId }) => workerId },
).map((loads) => loads.map((load) => WorkerLoad.fromPartial(load)));

/** Reports of entries; `undefined` stands for an entry that timed out. */
const drawSteps = fc.array(fc.record({
  entryId: fc.constantFrom(...ENTRIES),
  loads: fc.option(drawLoads, { nil: undefined }),
}), { maxLength: 20 });

/** What an entry has to know of a server: the reports of all others. */
const addUp = (
  reported: ReadonlyMap<string, readonly WorkerLoad[]>,
  exceptId: string,
  workerId: string,
) => {
  const loads = [...reported]
    .flatMap(([entryId, all]) => (entryId === exceptId ? [] : all))
    .filter((load) => load.workerId === workerId);
  const observed = loads.filter(({ slowness }) => slowness > 0);
  const slowness = observed.reduce((sum, load) => sum + load.slowness, 0);
  return {
    othersInFlight: loads.reduce((sum, load) => sum + load.inFlight, 0),
    othersPendingTokens: loads.reduce((sum, load) => sum + load.tokens, 0),
    othersSlowness: slowness / Math.max(1, observed.length) / 1_000,
  };
};

const makeWorkers = () => {
  const workers = makeRoutedWorkers();
  applyRecords(workers, SERVERS.map((workerId) => WorkerRecord.fromPartial({
    said: { workerId, service: 'm', state: 'ready' }, standing: 'ready',
  })), 0);
  return workers;
};

describe('the loads of all entries', () => {
  it('should equal the sum over all reports', () => {
    fc.assert(fc.property(drawSteps, (steps) => {
      const sums = new LoadSums();
      const reported = new Map<string, readonly WorkerLoad[]>();
      steps.forEach(({ entryId, loads }) => {
        if (loads) {
          sums.set(entryId, loads);
          reported.set(entryId, loads);
        } else {
          sums.remove(entryId);
          reported.delete(entryId);
        }
      });
      ['', ...ENTRIES].forEach((entryId) => {
        const workers = makeWorkers();
        applyLoads(workers, sums.list(), reported.get(entryId));
        SERVERS.forEach((workerId) => {
          expect(workers.byId.get(workerId)).toMatchObject(addUp(reported, entryId, workerId));
        });
      });
    }));
  });

  it('should not include entries that were removed', () => {
    const sums = new LoadSums();
    sums.set('e1', [WorkerLoad.fromPartial({ workerId: 'w1', inFlight: 1 })]);
    sums.remove('e1');
    expect(sums.list()).toEqual([]);
  });
});

describe('the loads in replies to entries', () => {
  // Fault: a leader with a hundred servers built the list of loads anew for each reply.
  it('should be built once for all replies of some milliseconds', () => {
    let now = 0;
    let built = 0;
    const packer = new LoadPacker(() => {
      built += 1;
      return [WorkerLoad.fromPartial({ workerId: 'w1', inFlight: built })];
    });
    const readInFlight = (): number | undefined => LoadList.decode(packer.build(now))
      .loads[0]?.inFlight;
    expect([readInFlight(), readInFlight()]).toEqual([1, 1]);
    now = 50;
    expect(readInFlight()).toBe(2);
  });
});
