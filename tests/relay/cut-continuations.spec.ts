import { describe, expect, it } from 'vitest';
import { CutSite } from '../fakes/cutSite';
import type { CutPlan } from '../fakes/cutSite';

const stream = { kind: 'stream', isResumable: true, maxAttempts: 2 } as const;

const continued: readonly [string, CutPlan][] = [
  ['closed', {
    route: stream, end: 'closed', isContinued: true, laterAt: 'even',
  }],
  ['reset', {
    route: stream, end: 'reset', isContinued: true, laterAt: 'odd',
  }],
];

describe('a continued stream whose second server is cut off at any byte', () => {
  // Guards against the events of the first server that are framed as a whole answer.
  it.each(continued)('should look whole only if it is: %s', async (verb, plan) => {
    const site = new CutSite(plan);
    expect(await site.run()).toEqual([]);
  });
});
