import { describe, expect, it } from 'vitest';
import { AccountLedger } from '../../src/core/routing/accountLedger';
import { makeAccount } from '../fakes/routings';

const SLACK = 190_000;
const RATE = 20_000;
const BURST = 400_000;
const COST = 3_000;
const STEP_MS = 10;
const WINDOW_MS = 8_000;
const MOST = (RATE * (WINDOW_MS / 1_000) + BURST) * 1.1 + SLACK;
const account = makeAccount({ perSecond: RATE, burst: BURST });

/** Asks all the time; returns the units that were admitted from one time to another. */
const flood = (ledger: AccountLedger, from: number, to: number): number => {
  let used = 0;
  for (let now = from; now < to; now += STEP_MS) {
    if (ledger.charge(account.name, COST, 0, now) === 0) used += COST;
  }
  return used;
};

const restart = (now: number): AccountLedger => {
  const ledger = new AccountLedger(SLACK);
  ledger.configure([account], now);
  ledger.countBurstsAsUsed(now);
  return ledger;
};

describe('limits of accounts after all processes were killed', () => {
  // All processes were killed at the same moment, and a tenant got its whole burst again.
  it('should hold in the window of the kill', () => {
    const before = new AccountLedger(SLACK);
    before.configure([account], 0);
    const used = flood(before, 0, 2_000);
    expect(used + flood(restart(3_000), 3_000, WINDOW_MS)).toBeLessThanOrEqual(MOST);
  });

  // Guards against an account that gets less than its rate, or its burst not again. What the slack
  // covers of the burst is used at once.
  it('should grant the rate at once, and the burst once the window is over', () => {
    const ledger = restart(0);
    expect(flood(ledger, 0, WINDOW_MS)).toBeGreaterThan(0.9 * RATE * (WINDOW_MS / 1_000));
    expect(flood(ledger, WINDOW_MS, WINDOW_MS + 2_000)).toBeGreaterThan(0.9 * (BURST - SLACK / 2));
  });

  // All processes lost power, and tenants whose bursts the slack covers were answered late for
  // seconds: nothing of their bursts was granted.
  it('should grant a burst at once that the slack covers', () => {
    const small = makeAccount({ perSecond: RATE, burst: 60_000 });
    const ledger = new AccountLedger(SLACK);
    ledger.configure([small], 0);
    ledger.countBurstsAsUsed(0);
    expect(ledger.charge(small.name, 59_000, 0, 0)).toBe(0);
    expect(ledger.charge(small.name, 1_000, 0, 1)).toBe(0);
  });

  it('should go by what entries tell as soon as one does', () => {
    const ledger = restart(0);
    ledger.recordEarlier('e1', { charges: [], entryCount: 1, toldAt: 0 }, 0);
    expect(flood(ledger, 0, 2_000)).toBeGreaterThan(0.9 * BURST);
  });
});
