import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { AccountLedger } from '../../src/core/routing/accountLedger';
import type { RoutedAccount } from '../../src/manifest/routing';
import { makeAccount } from '../fakes/routings';

const SLACK = 190_000;
const COST = 3_000;
const STEP_MS = 10;
const WINDOW_MS = 8_000;
/** Time after a change in which what is admitted is compared. */
const AFTER_MS = 12_000;

/** Limits that one version gives an account; `absent` leaves it out. */
type Limit = { readonly perSecond: number; readonly burst: number } | 'absent';

const NONE = { perSecond: 0, burst: 0 };
const LOW = { perSecond: 2_000, burst: 2_000 };
const HIGH = { perSecond: 68_000, burst: 68_000 };
const limits: readonly Limit[] = [
  'absent', NONE, LOW, HIGH, { perSecond: 2_000, burst: 400_000 }, { perSecond: 68_000, burst: 0 },
];

const listAccounts = (limit: Limit): RoutedAccount[] => (
  limit === 'absent' ? [] : [makeAccount(limit)]);

const computeCapacity = (limit: Limit): number => (
  limit === 'absent' ? 0 : limit.burst + 0.1 * SLACK);

/** The ledger of a leader, with a caller that asks all the time. */
class LimitedCaller {
  private readonly ledger = new AccountLedger(SLACK);

  readonly uses: number[] = [];

  now = 0;

  change(limit: Limit): void {
    this.ledger.configure(listAccounts(limit), this.now);
  }

  /** Asks for some time; returns the number of requests that were admitted. */
  flood(ms: number): number {
    const before = this.uses.length;
    const endsAt = this.now + ms;
    while (this.now < endsAt) {
      this.ask();
      this.now += STEP_MS;
    }
    return this.uses.length - before;
  }

  private ask(): void {
    if (this.ledger.charge(makeAccount({}).name, COST, 0, this.now) > 0) return;
    this.uses.push(this.now);
  }
}

const countFresh = (limit: Limit): number => {
  const caller = new LimitedCaller();
  caller.change(limit);
  return caller.flood(AFTER_MS);
};

const pickLimit = fc.constantFrom(...limits);
const pickMs = fc.constantFrom(0, 100, 700, 5_000, 20_000);

describe('a limit that a new version changes', () => {
  // A version lifted a tenant's limit, and nine in ten of its requests were still refused by the
  // limit of the version before.
  it('should bind as if the site had been started with the new version', () => {
    fc.assert(fc.property(pickLimit, pickLimit, pickMs, (from, to, floodMs) => {
      const caller = new LimitedCaller();
      caller.change(from);
      caller.flood(floodMs);
      caller.change(to);
      const admitted = caller.flood(AFTER_MS);
      const fresh = countFresh(to);
      // An account that has run for a while may use a part of the slack beside its burst.
      expect(admitted).toBeLessThanOrEqual(fresh + (0.1 * SLACK) / COST + 1);
      expect(admitted).toBeGreaterThanOrEqual(
        fresh - (computeCapacity(to) + 0.05 * SLACK) / COST - 2,
      );
    }), { numRuns: 400, seed: 4_711 });
  });

  // A version left a tenant out, the next one put it back, and it got its whole burst again.
  it.each([
    ['left out', 'absent'], ['lifted', NONE], ['lowered', LOW],
  ] as const)('should count what was used before when it comes back: %s', (name, between) => {
    const limit = { perSecond: 68_000, burst: 400_000 };
    const caller = new LimitedCaller();
    caller.change(limit);
    caller.flood(2_000);
    caller.change(between);
    caller.now += 700;
    caller.change(limit);
    caller.flood(WINDOW_MS);
    const most = (limit.perSecond * (WINDOW_MS / 1_000) + limit.burst) * 1.1 + SLACK;
    const used = COST * caller.uses.filter((at) => at < WINDOW_MS).length;
    expect(used).toBeLessThanOrEqual(most);
  });
});
