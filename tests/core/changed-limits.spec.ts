import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { AccountLedger } from '../../src/core/routing/accountLedger';
import { RecentCharges } from '../../src/core/routing/recentCharges';
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

/** The ledger of a leader and the memory of an entry, with a caller that asks all the time. */
class LimitedCaller {
  private recent = new RecentCharges();

  private ledger = new AccountLedger(SLACK);

  private limit: Limit = 'absent';

  readonly uses: number[] = [];

  now = 0;

  change(limit: Limit): void {
    this.limit = limit;
    this.ledger.configure(listAccounts(limit), this.now);
    this.recent.configure(listAccounts(limit), 1, this.now);
  }

  /** Another replica leads; the entry tells it what it remembers. */
  changeLeader(): void {
    const charges = this.recent.list(1, this.now);
    this.ledger = new AccountLedger(SLACK);
    this.ledger.configure(listAccounts(this.limit), this.now);
    if (charges.length > 0) this.ledger.recordEarlier('e1', { charges, entryCount: 1, toldAt: this.now }, this.now);
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
    const [account] = listAccounts(this.limit);
    if (this.ledger.charge(makeAccount({}).name, COST, 0, this.now) > 0) return;
    this.uses.push(this.now);
    if (account) this.recent.record(account, COST, this.now);
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
    fc.assert(fc.property(pickLimit, pickLimit, pickMs, pickMs, fc.boolean(), (
      from,
      to,
      floodMs,
      leaderMs,
      hasNewLeader,
    ) => {
      const caller = new LimitedCaller();
      caller.change(from);
      caller.flood(floodMs);
      caller.change(to);
      const beforeMs = hasNewLeader ? Math.min(leaderMs, AFTER_MS) : AFTER_MS;
      const since = caller.flood(beforeMs);
      if (hasNewLeader) caller.changeLeader();
      const admitted = since + caller.flood(AFTER_MS - beforeMs);
      const fresh = countFresh(to);
      const most = (computeCapacity(to) + 0.05 * SLACK) / COST + 2;
      // An account that has run for a while may use a part of the slack beside its burst.
      const saved = (0.1 * SLACK) / COST + 1;
      expect(admitted).toBeLessThanOrEqual(fresh + (hasNewLeader ? most : saved));
      expect(admitted).toBeGreaterThanOrEqual(fresh - most);
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
