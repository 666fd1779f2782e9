import { describe, expect, it } from 'vitest';
import { CutShares } from '../../src/relay/cutShares';

const HOUR_MS = 3_600_000;

describe('the share of streams that were cut off', () => {
  const recordAll = (results: readonly boolean[]): CutShares => {
    const shares = new CutShares();
    results.forEach((wasCut) => shares.record('rooms', wasCut, 0));
    return shares;
  };

  it.each([
    ['nothing is known', [], false],
    ['the first one was cut off', [true], true],
    ['one was cut off and many were complete', [true, false, false, false], false],
    ['every third one was cut off', [true, false, false, true, false, false, true], true],
  ])('should decide whether ends are believed: %s', (name, results, hasMany) => {
    expect(recordAll(results).hasManyCuts('rooms', 0)).toBe(hasMany);
  });

  it('should concern its service only, and be forgotten', () => {
    const shares = recordAll([true]);
    expect([shares.hasManyCuts('desk', 0), shares.hasManyCuts('rooms', HOUR_MS)]).toEqual([false, false]);
  });
});
