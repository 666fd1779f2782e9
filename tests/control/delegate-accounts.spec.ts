import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { DelegateAccounts } from '../../src/control/delegateAccounts';
import { AccountBudget } from '../../src/core/routing/accountBudget';
import { AccountLedger } from '../../src/core/routing/accountLedger';
import { makeAccount } from '../fakes/routings';

const RATE = 50_000;
const SLACK = 190_000;
const WINDOW_MS = 8_000;
const RUN_MS = 20_000;
const STEP_MS = 10;
/** Interval of the reports of a delegate, in milliseconds. */
const REPORT_MS = 250;
const DELEGATES = 5;
const ENTRIES = 40;
/** Cost of a plain request, in tokens. */
const SMALL = 200;
const account = makeAccount({ perSecond: RATE, burst: RATE });
/** Most units that may be used in any window, over all delegates and entries. */
const MOST = (RATE * (WINDOW_MS / 1_000) + RATE) * 1.1 + SLACK;

interface Use { readonly at: number; readonly cost: number; readonly rank: number }

/** What an account asks for at each delegate. */
interface Flood {
  readonly costs: readonly number[];
  /** Requests at each delegate in a step of 10 ms. */
  readonly perStep: number;
  /** Delegates that lose the leader, and from when on. */
  readonly cutCount?: number;
  readonly cutFrom?: number;
  /** One of so many requests gets no slot; 0 if all do. */
  readonly refundEvery?: number;
  /** Whether entries flood it too, with the small requests on which they decide. */
  readonly isFloodingEntries?: boolean;
}

const sumCosts = (uses: readonly Use[]): number => uses.reduce((sum, { cost }) => sum + cost, 0);

const findMostInWindow = (uses: readonly Use[]): number => uses
  .filter((use, index) => index % 20 === 0)
  .reduce((most, { at }) => Math.max(most, sumCosts(
    uses.filter((use) => use.at >= at && use.at < at + WINDOW_MS),
  )), 0);

const flood = ({
  costs, perStep, cutCount = 0, cutFrom = 0, refundEvery = 0, isFloodingEntries = false,
}: Flood): Use[] => {
  const ledger = new AccountLedger(SLACK);
  ledger.configure([account], 0);
  const delegates = Array.from({ length: DELEGATES }, () => new DelegateAccounts());
  const entries = Array.from({ length: ENTRIES }, () => new AccountBudget());
  const uses: Use[] = [];
  let count = 0;
  const drawCost = (): number => {
    count += 1;
    return costs[count % costs.length] ?? 1;
  };
  const askDelegate = (delegate: DelegateAccounts, now: number): void => {
    const cost = drawCost();
    const rank = count % 3;
    if (delegate.charge({ account: account.name, cost, rank }, now).kind !== 'charged') return;
    if (refundEvery > 0 && count % refundEvery === 0) delegate.refund(account.name, cost);
    else uses.push({ at: now, cost, rank });
  };
  Array.from({ length: RUN_MS / STEP_MS }, (unused, step) => step * STEP_MS).forEach((now) => {
    delegates.forEach((delegate, index) => {
      const isCut = index < cutCount && now >= cutFrom && now < cutFrom + 4_000;
      if ((now + 50 * index) % REPORT_MS === 0 && !isCut) {
        ledger.recordDelegateSpends(`r${index}`, delegate.listSpends(now), now);
        delegate.applyGrants(ledger.listGrants(`r${index}`, ENTRIES + DELEGATES, now), now);
      }
      Array.from({ length: perStep }).forEach(() => askDelegate(delegate, now));
    });
    entries.forEach((entry, index) => {
      if ((now + 10 * index) % 400 === 0) {
        ledger.recordSpends(`e${index}`, entry.listSpends(now), now);
        entry.applyGrants(ledger.listGrants(`e${index}`, ENTRIES + DELEGATES, now), now);
      }
      if (!isFloodingEntries || (now + 10 * index) % 20 !== 0) return;
      if (entry.trySpend(account, SMALL, now)) uses.push({ at: now, cost: SMALL, rank: 0 });
    });
  });
  return uses;
};

describe('accounts at replicas that grant slots', () => {
  // A leader that divided a limit among replicas could let each of them use all of it.
  it('should stay within the limit in every window of a flood, also while some lose the leader', () => {
    fc.assert(fc.property(
      fc.array(fc.integer({ min: 50, max: 9_000 }), { minLength: 3, maxLength: 9 }),
      fc.integer({ min: 0, max: 12_000 }),
      fc.integer({ min: 0, max: DELEGATES }),
      fc.boolean(),
      (costs, cutFrom, cutCount, isFloodingEntries) => {
        const uses = flood({
          costs, perStep: 1, cutFrom, cutCount, isFloodingEntries,
        });
        expect(findMostInWindow(uses)).toBeLessThanOrEqual(MOST);
      },
    ), { numRuns: 12, seed: 7 });
  });

  it.each([3_700, 400])('should use an account\'s whole limit in a flood of requests of %i units', (cost) => {
    const used = sumCosts(flood({ costs: [cost], perStep: 2 }).filter(({ at }) => at >= 4_000));
    expect(used).toBeGreaterThan(0.95 * RATE * ((RUN_MS - 4_000) / 1_000));
  });

  // Requests that get no slot were charged all the same, and used up the limit of the others.
  it.each([
    ['of all ranks', 4], ['of the highest rank', 3],
  ])('should use the whole limit although many charged requests get no slot: %s', (unused, refundEvery) => {
    const uses = flood({ costs: [2_000], perStep: 2, refundEvery });
    const used = sumCosts(uses.filter(({ at }) => at >= 4_000));
    expect(used).toBeGreaterThan(0.95 * RATE * ((RUN_MS - 4_000) / 1_000));
  });

  it('should leave the limit to higher ranks while an account asks for too much', () => {
    const uses = flood({ costs: [3_700], perStep: 1 }).filter(({ at }) => at >= 4_000);
    const [first, second, third] = [0, 1, 2].map((rank) => uses
      .filter((use) => use.rank === rank).length);
    expect(first).toBeGreaterThan(3 * (third ?? 0));
    expect(first).toBeGreaterThanOrEqual(second ?? 0);
  });

  it('should refuse no request of an account that is well within its limit', () => {
    const delegates = Array.from({ length: DELEGATES }, () => new DelegateAccounts());
    const ledger = new AccountLedger(SLACK);
    ledger.configure([account], 0);
    const kinds = new Set<string>();
    Array.from({ length: RUN_MS / STEP_MS }, (unused, step) => step * STEP_MS).forEach((now) => {
      delegates.forEach((delegate, index) => {
        if (now % REPORT_MS === 0) {
          ledger.recordDelegateSpends(`r${index}`, delegate.listSpends(now), now);
          delegate.applyGrants(ledger.listGrants(`r${index}`, ENTRIES + DELEGATES, now), now);
        }
        if ((now + 70 * index) % 500 === 0) {
          kinds.add(delegate.charge({ account: account.name, cost: 3_000, rank: 2 }, now).kind);
        }
      });
    });
    expect([...kinds]).toEqual(['charged']);
  });
});
