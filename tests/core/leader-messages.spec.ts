import { describe, expect, it } from 'vitest';
import {
  computeEntryTimeoutMs, computeWatchHoldMs,
} from '../../src/core/routing/messageIntervals';

/** Lease of an entry where a change must be in force within 2.5 s, in milliseconds. */
const LEASE_MS = 2_300;
/** Time after which an entry looks for another leader, beyond the time that it lets it hold. */
const REPLY_TIMEOUT_MS = 350;

const countWatchRequests = (entryCount: number): number => (
  (entryCount * 1_000) / computeWatchHoldMs(entryCount));

describe('messages of entries to a leader when nothing changes', () => {
  // The leader of 78 entries had used up three quarters of its processor time before the first
  // request: each message costs it half a millisecond, whatever it says.
  it.each([30, 78, 120])('should be at most 200 watch requests a second: %i entries', (entryCount) => {
    expect(countWatchRequests(entryCount)).toBeLessThanOrEqual(200);
  });

  it('should grow with the entries beyond that, by less than two a second for each', () => {
    expect(countWatchRequests(340)).toBeLessThanOrEqual(2 * 340);
  });

  // A lease must outlast a request whose leader has failed, and the search for the next one.
  it.each([8, 78, 191, 340])('should renew the lease in time although one is not answered: %i entries', (entryCount) => {
    const holdMs = computeWatchHoldMs(entryCount);
    expect(LEASE_MS - holdMs - (holdMs + REPLY_TIMEOUT_MS)).toBeGreaterThanOrEqual(700);
  });

  it('should let an entry count as gone within two seconds', () => {
    expect(computeEntryTimeoutMs(340)).toBeLessThanOrEqual(2_000);
  });
});
