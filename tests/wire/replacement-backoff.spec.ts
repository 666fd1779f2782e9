import { describe, expect, it } from 'vitest';
import { ReplacementBackoff } from '../../src/wire/replacementBackoff';

const listReplacements = (backoff: ReplacementBackoff, from: number, to: number): number[] => (
  Array.from({ length: (to - from) / 100 }, (unused, step) => from + 100 * step)
    .filter((now) => backoff.tryReplace(now)));

describe('the backoff of replaced connections', () => {
  it('should allow the first replacement at once and later ones after increasing delays', () => {
    const backoff = new ReplacementBackoff();
    expect(listReplacements(backoff, 0, 12_000)).toEqual([0, 1_000, 3_000, 7_000, 11_000]);
  });

  it('should allow a replacement at once after a reset', () => {
    const backoff = new ReplacementBackoff();
    listReplacements(backoff, 0, 4_000);
    backoff.reset();
    expect(listReplacements(backoff, 4_000, 5_500)).toEqual([4_000, 5_000]);
  });
});
