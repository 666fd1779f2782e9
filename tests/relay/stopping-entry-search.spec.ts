import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { runSearchAsync } from '../fakes/runSearch';
import { KINDS, LENGTHS } from '../fakes/stoppingPlan';
import type { PlannedRequest, StoppingPlan } from '../fakes/stoppingPlan';
import { StoppingRun } from '../fakes/stoppingRun';

const MOST_ENTRIES = 3;
const KEPT = 6;
/** Bounds on when requests are sent, relative to the signal to their entry, in milliseconds. */
const FIRST_AT = -400;
const LAST_AT = 900;
const MOST_HOLD_MS = 600;
/** Answers that are buffered, that are passed on directly, and that exceed the socket buffers. */
const SIZES = [1, 60_000, 200_000, 4_000_000] as const;
const REQUESTS = 40;
/** Schedules that run at the same time, as each spends most of its time waiting. */
const SCHEDULES = 4;

/** Unbiased, as all moments around the signal matter equally. */
const drawTime = fc.noBias(fc.integer({ min: FIRST_AT, max: LAST_AT }));

const drawRequest: fc.Arbitrary<PlannedRequest> = fc.record({
  at: drawTime,
  entry: fc.nat(MOST_ENTRIES - 1),
  length: fc.constantFrom(...LENGTHS),
  kind: fc.constantFrom(...KINDS),
  share: fc.noBias(fc.integer({ min: 0, max: 100 })).map((percent) => percent / 100),
  kept: fc.option(fc.nat(KEPT - 1), { nil: undefined }),
  holdMs: fc.oneof(fc.constant(0), fc.noBias(fc.integer({ min: 1, max: MOST_HOLD_MS }))),
  tellsLength: fc.boolean(),
  bytes: fc.constantFrom(...SIZES),
});

const drawPlan: fc.Arbitrary<StoppingPlan> = fc.record({
  entries: fc.integer({ min: 1, max: MOST_ENTRIES }),
  staggerMs: fc.constantFrom(0, 0, 50, 300),
  change: fc.constantFrom('none' as const, 'idleTimeout' as const, 'dropRoutes' as const),
  changeAt: drawTime,
  requests: fc.array(drawRequest, { minLength: REQUESTS, maxLength: REQUESTS }),
}).map(({ requests, ...plan }) => ({
  ...plan,
  requests: requests.map(({ entry, ...request }) => ({ ...request, entry: entry % plan.entries })),
}));

const drawPlans = fc.noShrink(fc.array(drawPlan, { minLength: SCHEDULES, maxLength: SCHEDULES }));

describe('entries that shut down during requests of every kind', () => {
  // A planned shutdown must not cut requests off, refuse them with a wrong state or run them twice.
  it('should answer completely, or refuse as not run, every request that they read completely', async () => {
    const property = fc.asyncProperty(drawPlans, async (plans) => {
      const faults = await Promise.all(plans.map((plan) => StoppingRun.perform(plan)));
      expect(faults.flat()).toEqual([]);
    });
    await runSearchAsync(property, { runs: 3, seed: 41 });
  });
});
