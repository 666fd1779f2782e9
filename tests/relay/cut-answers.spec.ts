import { describe, expect, it } from 'vitest';
import { CutSite } from '../fakes/cutSite';
import type { CutPlan } from '../fakes/cutSite';

const plans: readonly [string, CutPlan][] = [
  ['a request that may run once, closed', {
    route: { kind: 'nonIdempotent', maxAttempts: 1 }, end: 'closed', isContinued: false, laterAt: 'even',
  }],
  ['a request that may run once, reset', {
    route: { kind: 'nonIdempotent', maxAttempts: 1 }, end: 'reset', isContinued: false, laterAt: 'odd',
  }],
  ['a stream that may run once, closed', {
    route: { kind: 'stream', maxAttempts: 1 }, end: 'closed', isContinued: false, laterAt: 'odd',
  }],
  ['a stream that may run once, reset', {
    route: { kind: 'stream', maxAttempts: 1 }, end: 'reset', isContinued: false, laterAt: 'even',
  }],
];

describe('an answer to a request that may run once, cut off at any byte', () => {
  // Guards against a part of an answer that is framed as whole, an answer that is taken for that of
  // the next request, and a request that is sent twice.
  it.each(plans)('should look whole only if it is: %s', async (name, plan) => {
    const site = new CutSite(plan);
    expect(await site.run()).toEqual([]);
    expect(site.reusedCount).toBeGreaterThan(0);
  });
});
