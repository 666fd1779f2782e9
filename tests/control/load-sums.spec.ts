import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { LoadSums } from '../../src/control/loadSums';
import { WorkerLoad } from '../../src/protocol/generated/beechlift';

const ENTRIES = ['e1', 'e2', 'e3'];

const drawLoads = fc.uniqueArray(
  fc.record({
    workerId: fc.constantFrom('w1', 'w2', 'w3'),
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

const addUp = (reported: ReadonlyMap<string, readonly WorkerLoad[]>, exceptId: string) => {
  const all = [...reported].flatMap(([entryId, loads]) => (entryId === exceptId ? [] : loads));
  return ['w1', 'w2', 'w3'].map((workerId) => {
    const loads = all.filter((load) => load.workerId === workerId);
    const observed = loads.filter(({ slowness }) => slowness > 0);
    const slowness = observed.reduce((sum, load) => sum + load.slowness, 0);
    return {
      workerId,
      inFlight: loads.reduce((sum, load) => sum + load.inFlight, 0),
      tokens: loads.reduce((sum, load) => sum + load.tokens, 0),
      slowness: Math.round(slowness / Math.max(1, observed.length)),
      placed: 0,
      placedTokens: 0,
    };
  });
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
      ['', ...ENTRIES].forEach((exceptId) => {
        const byId = new Map(sums.sum(exceptId).map((load) => [load.workerId, load]));
        addUp(reported, exceptId).forEach((load) => {
          expect(byId.get(load.workerId) ?? {
            ...load, inFlight: 0, tokens: 0, slowness: 0,
          })
            .toEqual(load);
        });
      });
    }));
  });

  it('should not include entries that were removed', () => {
    const sums = new LoadSums();
    sums.set('e1', [WorkerLoad.fromPartial({ workerId: 'w1', inFlight: 1 })]);
    sums.remove('e1');
    expect(sums.sum('')).toEqual([]);
  });
});
