import { describe, expect, it } from 'vitest';
import { ServiceRetryBudget } from '../../src/core/routing/serviceRetryBudget';

const BOUNDS = { ratio: 0.2, slack: 56, windowMs: 10_000 };
const LONG_MS = 60_000;

/** A budget that is full after a long time without retries. */
const makeFullBudget = (entries: number): ServiceRetryBudget => {
  const budget = new ServiceRetryBudget(BOUNDS, () => entries);
  budget.recordRequest('rooms', 0);
  return budget;
};

describe('optional retries', () => {
  // Fault: the share that is kept for others exceeded what one entry of a large site may have, so
  // no stream's end was ever proved there.
  it.each([1, 6, 20, 21, 40, 200])('should be possible with a full budget: %s entries', (entries) => {
    expect(makeFullBudget(entries).takeSpare('rooms', LONG_MS)).toBe(true);
  });

  // Guards against optional retries that leave nothing for requests whose server was lost.
  it.each([1, 2, 6])('should leave a part of the budget to others: %s entries', (entries) => {
    const budget = makeFullBudget(entries);
    while (budget.takeSpare('rooms', LONG_MS));
    expect(budget.take('rooms', LONG_MS)).toBe(true);
  });
});
