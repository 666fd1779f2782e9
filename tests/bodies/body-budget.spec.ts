import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { BodyBudget } from '../../src/bodies/bodyBudget';
import type { BodyShare } from '../../src/bodies/bodyBudget';

const MAX_BYTES = 1_000_000;

/** A body of a test. */
interface TestBody {
  readonly share: BodyShare;
  bytes: number;
  isEvicted: boolean;
}

const openBody = (budget: BodyBudget): TestBody => {
  const body: TestBody = {
    share: budget.open(() => {
      body.isEvicted = true;
    }),
    bytes: 0,
    isEvicted: false,
  };
  return body;
};

const extendBody = (body: TestBody, bytes: number): boolean => {
  const fits = body.share.reserve(bytes);
  if (fits) body.bytes += bytes;
  return fits;
};

describe('the budget of all bodies', () => {
  it('should hold whatever bodies do, beside a single one', () => {
    const step = fc.record({
      body: fc.nat(9), bytes: fc.integer({ min: 1, max: 400_000 }), act: fc.constantFrom('grow', 'grow', 'grow', 'complete', 'release'),
    });
    fc.assert(fc.property(fc.array(step, { maxLength: 80 }), (steps) => {
      const budget = new BodyBudget(MAX_BYTES);
      const bodies = Array.from({ length: 10 }, () => openBody(budget));
      const gone = new Set<TestBody>();
      steps.forEach(({ body: position, bytes, act }) => {
        const body = bodies[position] as TestBody;
        if (act === 'grow') extendBody(body, bytes);
        else body.share[act]();
        if (act === 'release') gone.add(body);
        const open = bodies.filter((other) => !other.isEvicted && !gone.has(other));
        const holding = open.filter((other) => other.bytes > 0);
        const sum = holding.reduce((total, other) => total + other.bytes, 0);
        expect(budget.usedBytes).toBe(sum);
        expect(sum <= MAX_BYTES || holding.length === 1).toBe(true);
      });
    }));
  });

  it('should let the largest incomplete body give way', () => {
    const budget = new BodyBudget(MAX_BYTES);
    const [done, large, small] = [openBody(budget), openBody(budget), openBody(budget)];
    extendBody(done, 400_000);
    done.share.complete();
    extendBody(large, 300_000);
    extendBody(small, 40_000);
    expect(extendBody(small, 100_000)).toBe(true);
    expect([done, large, small].map(({ isEvicted }) => isEvicted)).toEqual([false, true, false]);
    expect(large.share.reserve(1)).toBe(false);
  });

  it('should refuse a body that would be the largest itself', () => {
    const budget = new BodyBudget(MAX_BYTES);
    const [first, second] = [openBody(budget), openBody(budget)];
    extendBody(first, 300_000);
    extendBody(second, 400_000);
    expect(extendBody(second, 300_000)).toBe(false);
    expect(first.isEvicted).toBe(false);
  });

  it('should keep a part for small bodies that complete large ones cannot use', () => {
    const budget = new BodyBudget(MAX_BYTES);
    Array.from({ length: 10 }, () => openBody(budget)).forEach((body) => {
      extendBody(body, 100_000);
      body.share.complete();
    });
    expect(budget.usedBytes).toBe(700_000);
    expect(extendBody(openBody(budget), 2_000)).toBe(true);
  });

  it('should receive a single body that is larger than the budget', () => {
    expect(extendBody(openBody(new BodyBudget(MAX_BYTES)), 2 * MAX_BYTES)).toBe(true);
  });
});
