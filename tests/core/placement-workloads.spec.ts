import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { PlacementModel } from './placementModel';
import type { ModelKind, ModelWorkload } from './placementModel';

/** Approximate milliseconds that a kind of request holds a slot of an engine of slowness 1. */
const computeHoldMs = ({ promptTokens, outputTokens }: ModelKind): number => (
  30 + 0.01 * promptTokens + 4 * outputTokens
);

const kindShapes = fc.record({
  rank: fc.nat({ max: 2 }),
  share: fc.integer({ min: 1, max: 10 }),
  promptTokens: fc.integer({ min: 20, max: 8_000 }),
  outputTokens: fc.integer({ min: 5, max: 400 }),
  targetMs: fc.integer({ min: 100, max: 5_000 }),
});

/** Workloads that the placement was not tuned for: other engines, kinds, targets and loads. */
const workloads = fc.record({
  slots: fc.integer({ min: 2, max: 40 }),
  slowness: fc.array(fc.integer({ min: 1, max: 8 }), { minLength: 1, maxLength: 6 }),
  shapes: fc.array(kindShapes, { minLength: 1, maxLength: 6 }),
  load: fc.double({ min: 0.3, max: 4, noNaN: true }),
}).map(({
  slots, slowness, shapes, load,
}): ModelWorkload => {
  const kinds = shapes.map(({ share, ...shape }): ModelKind => ({
    ...shape,
    perSecond: share,
    spread: 1,
    hintSpread: 0.5,
    deadlineMs: Math.max(3_000, 6 * shape.targetMs),
    worth: 1,
    lateWorth: 0.5,
  }));
  const capacity = slowness.reduce((sum, times) => sum + (slots * 1_000) / times, 0);
  const demand = kinds.reduce((sum, kind) => sum + kind.perSecond * computeHoldMs(kind), 0);
  const times = (load * capacity) / demand;
  return {
    slots,
    slowness,
    kinds: kinds.map((kind) => ({ ...kind, perSecond: Math.min(150, kind.perSecond * times) })),
    seconds: 4,
    burst: { from: 1, to: 2, times: 2 },
  };
});

describe('placement under workloads that it was not tuned for', () => {
  it('should keep the order, fill all slots and decide on every request', () => {
    fc.assert(fc.property(workloads, fc.nat({ max: 1_000 }), (workload, seed) => {
      const outcome = new PlacementModel(workload, seed).run();
      const longestTargetMs = Math.max(...workload.kinds.map(({ targetMs }) => targetMs));
      expect({
        overfilled: outcome.overfilled,
        idleWhileWaiting: outcome.idleWhileWaiting,
        inversions: outcome.inversions,
        undecided: outcome.undecided,
      }).toEqual({
        overfilled: 0, idleWhileWaiting: 0, inversions: 0, undecided: 0,
      });
      expect(outcome.longestWaitMs).toBeLessThanOrEqual(0.8 * longestTargetMs + 50);
      const ended = outcome.onTime + outcome.late + outcome.refused + outcome.cut;
      expect(ended).toBe(outcome.asked);
    }), { numRuns: 60, seed: 11 });
  }, 60_000);

  // Up to twice the capacity of eight engines of slowness 1 to 5: the highest rank goes first.
  it('should serve higher ranks more fully than lower ones when engines are full', () => {
    const makeKind = (rank: number, worth: number): ModelKind => ({
      rank,
      perSecond: 8,
      promptTokens: 1_000,
      outputTokens: 250,
      spread: 0.5,
      hintSpread: 0.5,
      targetMs: 600,
      deadlineMs: 9_000,
      worth,
      lateWorth: 0,
    });
    const serve = (rank: number): number => new PlacementModel({
      slots: 5,
      slowness: [1, 1, 2, 2, 3, 3, 5, 5],
      kinds: [0, 1, 2].map((other) => makeKind(other, other === rank ? 1 : 0)),
      seconds: 10,
      burst: { from: 3, to: 6, times: 2 },
    }, 5).run().worth;
    const [first = 0, second = 0, third = 0] = [0, 1, 2].map(serve);
    expect(first).toBeGreaterThan(0.9);
    expect(first).toBeGreaterThan(second);
    expect(second).toBeGreaterThan(third);
  });
});
