import prand from 'pure-rand';
import { describe, expect, it } from 'vitest';
import { AccountBudget } from '../../src/core/routing/accountBudget';
import { AccountLedger } from '../../src/core/routing/accountLedger';
import { makeAccount } from '../fakes/routings';

/*
 * On large sites, requests of accounts within their limits were refused with 429 because the leader
 * answered late. These tests show that granting a limit in ninety shares is not the cause: as long
 * as the leader answers in time, the limit holds and refuses nothing within it.
 */

const ENTRIES = 90;
const RATE = 112_000;
const SLACK = 190_000;
const WINDOW_MS = 8_000;
/** How often an entry contacts the leader, in milliseconds. */
const ASK_MS = 200;
const SECONDS = 20;
/** Cost of plain requests and of model requests, in tokens. */
const SMALL = 200;
const LARGE = 4_000;
const account = makeAccount({ perSecond: RATE, burst: RATE });
/** Most units that may be used in any window, over all entries. */
const MOST = (RATE * (WINDOW_MS / 1_000) + RATE) * 1.1 + SLACK;

const floodedAccount = makeAccount({ perSecond: 50_000, burst: 50_000 });
const FLOODED_MOST = (50_000 * (WINDOW_MS / 1_000) + 50_000) * 1.1 + SLACK;

interface Arrival { readonly at: number; readonly entry: number; readonly cost: number }

/** Draws arrivals of one account at random entries, none of them over its limit. */
const drawWithinLimit = (
  seed: number,
  smallPerSecond: number,
  largePerSecond: number,
): Arrival[] => {
  const generator = prand.xoroshiro128plus(seed);
  const draw = (most: number) => prand.unsafeUniformIntDistribution(0, most, generator);
  const drawAll = (cost: number, perSecond: number) => (
    Array.from({ length: SECONDS * perSecond }, () => ({
      at: draw(SECONDS * 1_000 - 1), entry: draw(ENTRIES - 1), cost,
    })));
  let level = RATE;
  let filledAt = 0;
  return [...drawAll(SMALL, smallPerSecond), ...drawAll(LARGE, largePerSecond)]
    .sort((a, b) => a.at - b.at)
    .filter(({ at, cost }) => {
      level = Math.min(RATE, level + ((at - filledAt) / 1_000) * RATE);
      filledAt = at;
      if (level < cost) return false;
      level -= cost;
      return true;
    });
};

interface SimulationResult { readonly admitted: Arrival[]; readonly refused: Arrival[] }

/** Simulates arrivals; entries decide on small requests, and the leader on large ones. */
const simulate = (
  arrivals: readonly Arrival[],
  isCut: (entry: number, at: number) => boolean,
): SimulationResult => {
  const ledger = new AccountLedger(SLACK);
  ledger.configure([account], 0);
  const entries = Array.from({ length: ENTRIES }, () => new AccountBudget());
  const admitted: Arrival[] = [];
  const refused: Arrival[] = [];
  const requestGrants = (entry: AccountBudget, position: number, now: number): void => {
    if (isCut(position, now)) return;
    ledger.recordSpends(`e${position}`, entry.listSpends(now), now);
    entry.applyGrants(ledger.listGrants(`e${position}`, ENTRIES, now), now);
  };
  // An entry serves requests only after the leader's first reply.
  entries.forEach((entry, position) => requestGrants(entry, position, 0));
  let next = 0;
  Array.from({ length: SECONDS * 1_000 }, (unused, now) => now).forEach((now) => {
    entries.forEach((entry, position) => {
      if ((now + 2 * position) % ASK_MS === 0) requestGrants(entry, position, now);
    });
    const due = arrivals.slice(next).findIndex(({ at }) => at > now);
    const end = due < 0 ? arrivals.length : next + due;
    arrivals.slice(next, end).forEach((arrival) => {
      const { entry, cost } = arrival;
      const isAdmitted = cost === SMALL || isCut(entry, now)
        ? (entries[entry] as AccountBudget).trySpend(account, cost, now)
        : ledger.charge(account.name, cost, 0, now) === 0;
      (isAdmitted ? admitted : refused).push(arrival);
    });
    next = end;
  });
  return { admitted, refused };
};

const findMostInWindow = (uses: readonly Arrival[]): number => uses.reduce((most, { at }) => {
  const sum = uses.filter((use) => use.at >= at && use.at < at + WINDOW_MS)
    .reduce((total, { cost }) => total + cost, 0);
  return Math.max(most, sum);
}, 0);

describe('limits of accounts over ninety entries', () => {
  it.each([1, 2, 3])('should refuse nothing of an account within its limit, seed %i', (seed) => {
    const arrivals = drawWithinLimit(seed, 40, 24);
    expect(simulate(arrivals, () => false).refused).toEqual([]);
  });

  it.each([1, 2, 3])('should refuse hardly anything of an account at its limit, seed %i', (seed) => {
    const arrivals = drawWithinLimit(seed, 40, 60);
    const { refused } = simulate(arrivals, () => false);
    expect(refused.length).toBeLessThanOrEqual(0.01 * arrivals.length);
  });

  it('should hold in every window of a flood with a third of the entries cut off', () => {
    const generator = prand.xoroshiro128plus(5);
    const draw = (most: number) => prand.unsafeUniformIntDistribution(0, most, generator);
    const flood = Array.from({ length: SECONDS * 300 }, () => ({
      at: draw(SECONDS * 1_000 - 1), entry: draw(ENTRIES - 1), cost: draw(9) < 4 ? SMALL : LARGE,
    })).sort((a, b) => a.at - b.at);
    const isThird = (entry: number, at: number) => entry % 3 === 0 && at >= 6_000 && at < 12_000;
    const { admitted } = simulate(flood, isThird);
    expect(findMostInWindow(admitted)).toBeLessThanOrEqual(MOST);
  });

  // Each entry may overdraw its grant by one request: of many entries that decide on large requests
  // themselves at the same time, all do.
  it('should hold while forty entries decide on all large requests of a flood themselves', () => {
    const costs = [1_238, 50, 7_465];
    const ledger = new AccountLedger(SLACK);
    ledger.configure([floodedAccount], 0);
    const entries = Array.from({ length: 40 }, () => new AccountBudget());
    const admitted: Arrival[] = [];
    let count = 0;
    Array.from({ length: SECONDS * 100 }, (unused, step) => step * 10).forEach((now) => {
      entries.forEach((entry, position) => {
        if ((now + 10 * position) % 400 === 0) {
          ledger.recordSpends(`e${position}`, entry.listSpends(now), now);
          entry.applyGrants(ledger.listGrants(`e${position}`, 40, now), now);
        }
        if ((now + 10 * position) % ASK_MS !== 0) return;
        count += 1;
        const cost = costs[count % costs.length] ?? 1;
        if (entry.trySpend(floodedAccount, cost, now)) {
          admitted.push({ at: now, entry: position, cost });
        }
      });
    });
    expect(findMostInWindow(admitted)).toBeLessThanOrEqual(FLOODED_MOST);
  });
});
