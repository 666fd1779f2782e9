import { describe, expect, it } from 'vitest';
import { CutSite } from '../fakes/cutSite';
import type { CutPlan } from '../fakes/cutSite';

const stream = { kind: 'stream', isResumable: true, maxAttempts: 2 } as const;

const plans: readonly [string, CutPlan][] = [
  ['an idempotent request, closed', {
    route: { kind: 'idempotent', maxAttempts: 2 }, end: 'closed', isContinued: false, laterAt: 'even',
  }],
  ['an idempotent request, reset', {
    route: { kind: 'idempotent', maxAttempts: 2 }, end: 'reset', isContinued: false, laterAt: 'odd',
  }],
  ['a stream that may be resumed, closed', {
    route: stream, end: 'closed', isContinued: false, laterAt: 'odd',
  }],
  ['a stream that may be resumed, reset', {
    route: stream, end: 'reset', isContinued: false, laterAt: 'even',
  }],
];

describe('an answer to a request that may be repeated, cut off at any byte', () => {
  // Guards against the part of one server in front of the answer of another, and against an answer
  // that is taken for that of the next request.
  it.each(plans)('should be whole in the end: %s', async (name, plan) => {
    const site = new CutSite(plan);
    expect(await site.run()).toEqual([]);
    expect(site.reusedCount).toBeGreaterThan(0);
  });
});
