import { describe, expect, it } from 'vitest';
import { drawTargetShare } from '../../src/relay/drawTargetShare';

const DRAWS = 2_000;

const begin = (requestId: string) => ({ requestId, lastEventId: '', resumedId: '' });

describe('the draw between several services of a route', () => {
  // Otherwise a stream that is taken up goes to a service that did not begin it, and is refused.
  it('should be the same for a stream that is taken up', () => {
    expect(drawTargetShare({ requestId: 'b', lastEventId: '4', resumedId: 'a' }))
      .toBe(drawTargetShare(begin('a')));
  });

  it('should not depend on an attempt that is named by a new request', () => {
    expect(drawTargetShare({ requestId: 'b', lastEventId: '', resumedId: 'a' }))
      .toBe(drawTargetShare(begin('b')));
  });

  it('should be evenly distributed, also for requests without an id', () => {
    const countBelow = (makeId: (number: number) => string): number => (
      Array.from({ length: DRAWS }, (unused, number) => drawTargetShare(begin(makeId(number))))
        .filter((share) => share >= 0 && share < 0.1).length);
    [(number: number) => `request ${number}`, () => ''].forEach((makeId) => {
      expect(countBelow(makeId)).toBeGreaterThan(0.07 * DRAWS);
      expect(countBelow(makeId)).toBeLessThan(0.13 * DRAWS);
    });
  });
});
