import { describe, expect, it } from 'vitest';
import { computeUsedBurst } from '../../src/core/routing/chargeSlots';
import { RecentCharges } from '../../src/core/routing/recentCharges';
import { WatchRequest } from '../../src/protocol/generated/beechlift';
import { makeAccount } from '../fakes/routings';

const RATE = 1_000;
const account = makeAccount({ perSecond: RATE, burst: RATE });

describe('recent charges of an entry', () => {
  it('should tell what was charged, by its age', () => {
    const recent = new RecentCharges();
    recent.record(account, 900, 0);
    recent.record(account, 500, 1_000);
    recent.record(account, 200, 1_100);
    const [told] = recent.list(1, 1_000);
    expect([told?.account, told?.units]).toEqual(['lobby', [700, 0, 0, 0, 900]]);
    expect(recent.list(1, 1_500)[0]?.units.slice(0, 3)).toEqual([0, 0, 700]);
  });

  it('should forget charges after the time over which accounts are judged', () => {
    const recent = new RecentCharges();
    recent.record(account, 20_000, 0);
    expect(recent.list(1, 7_900)).toHaveLength(1);
    expect(recent.list(1, 8_000)).toEqual([]);
  });

  // With thousands of accounts at eighty entries, a new leader would be told megabytes at once.
  it('should tell a bounded number of accounts, those that used most of their bursts', () => {
    const recent = new RecentCharges();
    Array.from({ length: 500 }, (unused, position) => position).forEach((position) => (
      recent.record(makeAccount({ name: `a${position}`, perSecond: RATE, burst: RATE }), 1_000 + position, 0)));
    const told = recent.list(80, 0);
    expect(told).toHaveLength(100);
    expect(told[0]?.account).toBe('a499');
    const request = WatchRequest.fromPartial({ recentCharges: told, chargesEpoch: 'x', knownEntries: 80 });
    expect(WatchRequest.encode(request).finish().length).toBeLessThan(30_000);
  });

  it('should leave out accounts of which all entries together used little', () => {
    const recent = new RecentCharges();
    recent.record(account, 9, 0);
    expect(recent.list(10, 0)).toEqual([]);
    recent.record(account, 2, 0);
    expect(recent.list(10, 0)).toHaveLength(1);
  });

  it('should drop accounts that were not charged for long', () => {
    const recent = new RecentCharges();
    const makeNamed = (name: string) => makeAccount({ name, perSecond: RATE, burst: RATE });
    Array.from({ length: 50 }, (unused, position) => (
      recent.record(makeNamed(`a${position}`), 1, position)));
    Array.from({ length: 100 }, (unused, position) => (
      recent.record(makeNamed(`b${position % 10}`), 1, 10_000 + position)));
    expect(recent.size).toBe(10);
  });

  it('should not keep accounts without a limit', () => {
    const recent = new RecentCharges();
    recent.record(makeAccount({}), 1_000_000, 0);
    expect(recent.list(1, 0)).toEqual([]);
  });

  it('should be the same after it was sent', () => {
    const recent = new RecentCharges();
    recent.record(account, 900, 0);
    recent.record(account, 500.5, 1_000);
    const request = WatchRequest.fromPartial({
      entryId: 'e1', recentCharges: recent.list(1, 1_000), chargesEpoch: 'x', knownEntries: 7, originsRevision: 3,
    });
    expect(WatchRequest.decode(WatchRequest.encode(request).finish())).toEqual(request);
  });
});

describe('the used part of a burst', () => {
  it('should be what was charged, less what was refilled since', () => {
    expect(computeUsedBurst([], RATE)).toBe(0);
    expect(computeUsedBurst([900], RATE)).toBe(900);
    expect(computeUsedBurst([0, 0, 900], RATE)).toBe(400);
    expect(computeUsedBurst([250, 250, 250, 250], RATE)).toBe(250);
    expect(computeUsedBurst([300, 0, 0, 2_000], RATE)).toBe(1_550);
  });
});
