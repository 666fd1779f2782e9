import { describe, expect, it } from 'vitest';
import { computeEntryTimeoutMs, computeWatchHoldMs } from '../../src/core/routing/messageIntervals';

const MS_PER_SECOND = 1_000;
/** Watch requests per second for which a leader has time beside the requests of its site. */
const MOST_PER_SECOND = 200;
/** Size beyond which a lease bounds how long a request may be held. */
const LARGEST_EVEN_SITE = 120;
/** Longest time that an entry whose process was killed may stay in the addresses of callers. */
const LONGEST_TIMEOUT_MS = 2_000;

describe('watch requests without updates', () => {
  // Watch requests took a third of the leader's processor time on a site of eighty entries, and
  // left too little for the slots that callers waited for.
  it.each([41, 78, 87, LARGEST_EVEN_SITE])('should leave the leader time for the slots of %i entries', (entryCount) => {
    const perSecond = (entryCount * MS_PER_SECOND) / computeWatchHoldMs(entryCount);
    expect(perSecond).toBeLessThanOrEqual(MOST_PER_SECOND);
  });

  it.each([1, 8, 40])('should tell loads every 200 ms on a site of %i entries', (entryCount) => {
    expect(computeWatchHoldMs(entryCount)).toBe(200);
  });

  it.each([78, 191, 340])('should tell soon that one of %i entries is gone', (entryCount) => {
    expect(computeEntryTimeoutMs(entryCount)).toBeLessThanOrEqual(LONGEST_TIMEOUT_MS);
  });
});
