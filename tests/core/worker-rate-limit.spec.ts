import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { applyRecords, makeRoutedWorkers } from '../../src/core/routing/routedWorkers';
import type { RoutedWorker, RoutedWorkers } from '../../src/core/routing/routedWorkers';
import {
  applyNamedRates, applyRateLimits, listNamedRates, listRateLimits, recordNamedRate,
  takeWorkerAllowance,
} from '../../src/core/routing/workerRateLimit';
import type { RateSharing } from '../../src/core/routing/workerRateLimit';
import { hasAllowance } from '../../src/core/routing/rateAllowance';
import { WorkerRecord } from '../../src/protocol/generated/beechlift';
import { runSearch } from '../fakes/runSearch';

const SEARCH = { runs: 150, seed: 4_711 };
const WINDOW_MS = 4_000;

const makeTable = (born = 1): RoutedWorkers => {
  const workers = makeRoutedWorkers();
  applyRecords(workers, [WorkerRecord.fromPartial({
    said: {
      workerId: 'w', service: 'rooms', address: '10.0.0.1:80', slots: 4, born,
    },
    standing: 'ready',
  })], 0);
  return workers;
};

const findServer = (workers: RoutedWorkers): RoutedWorker => workers.byId.get('w') as RoutedWorker;

const makeSharing = (entryCount: number, isPlaced = false): RateSharing => ({
  entryCount, isPlaced: () => isPlaced, phase: 0.5,
});

const name = (workers: RoutedWorkers, perSecond: number, sentAt: number, now: number): boolean => (
  recordNamedRate(findServer(workers), perSecond, sentAt, makeSharing(1), now));

/** Sends as much as the allowance permits, once a millisecond; returns when it sent. */
const sendAll = (workers: RoutedWorkers, from: number, to: number): number[] => {
  const server = findServer(workers);
  return Array.from({ length: to - from }, (unused, step) => from + step).filter((now) => {
    if (!hasAllowance(server.rateLimit.allowance, now)) return false;
    takeWorkerAllowance(server, now);
    return true;
  });
};

const countMost = (times: readonly number[]): number => Math.max(0, ...times.map((from) => (
  times.filter((at) => at >= from && at < from + WINDOW_MS).length)));

describe('the rate limit of a backend server', () => {
  it('should hold in every window, whatever the limit', () => {
    runSearch(fc.property(fc.double({ min: 0.05, max: 40, noNaN: true }), (perSecond) => {
      const workers = makeTable();
      name(workers, perSecond, 0, 0);
      expect(countMost(sendAll(workers, 0, 12_000))).toBeLessThanOrEqual(6 * perSecond + 5);
    }), { ...SEARCH, runs: 30 });
  });

  it('should bound what a server names: no requests at all, or more than any server takes', () => {
    const workers = makeTable();
    name(workers, 0.000_1, 0, 0);
    expect(listNamedRates(workers, 0)[0]?.perSecond).toBe(0.05);
    name(workers, 1e12, 0, 0);
    expect(listNamedRates(workers, 0)[0]?.perSecond).toBe(1_000_000);
  });

  // An answer that was sent before the server named its limit arrives later than one that names it.
  it('should not end with an answer to a request that was sent before it was known', () => {
    const workers = makeTable();
    expect(name(workers, 2, 100, 200)).toBe(true);
    expect(name(workers, 0, 150, 300)).toBe(false);
    expect(findServer(workers).rateLimit.allowance.perSecond).toBe(2);
    expect(name(workers, 0, 250, 400)).toBe(true);
    expect(findServer(workers).rateLimit.allowance.perSecond).toBe(Infinity);
  });

  it('should be told to the leader at once only if it changes much', () => {
    const workers = makeTable();
    expect([2, 2.1, 1.9, 1.4].map((rate, step) => name(workers, rate, step, step)))
      .toEqual([true, false, false, true]);
  });

  it('should not pass to the next incarnation of the server', () => {
    const leader = makeTable(2);
    applyNamedRates(leader, [{
      workerId: 'w', born: 1, perSecond: 2, ageMs: 0,
    }], 0);
    expect(listRateLimits(leader)).toEqual([]);
  });

  // The leader may hear of an answer after it has heard of a later one by another entry.
  it('should be what the latest answer said, in whatever order the leader hears of them', () => {
    const leader = makeTable();
    const report = (perSecond: number, ageMs: number) => applyNamedRates(leader, [{
      workerId: 'w', born: 1, perSecond, ageMs,
    }], 10_000);
    report(0, 100);
    report(3, 500);
    expect(listRateLimits(leader)).toEqual([]);
    report(2, 50);
    expect(listRateLimits(leader).map(({ perSecond }) => perSecond)).toEqual([2]);
  });

  // The reply to a request that was sent before the server named its limit must not end it.
  it('should stay on an entry until the leader can know it', () => {
    const entry = makeTable();
    name(entry, 2, 90, 100);
    applyRateLimits(entry, [], 95, makeSharing(1), 120);
    expect(findServer(entry).rateLimit.allowance.perSecond).toBe(2);
    applyRateLimits(entry, [], 130, makeSharing(1), 150);
    expect(findServer(entry).rateLimit.allowance.perSecond).toBe(Infinity);
  });

  it('should be divided among entries, and less of it where the leader places requests', () => {
    const entry = makeTable();
    const limits = [{
      workerId: 'w', born: 1, perSecond: 6, ageMs: 0,
    }];
    applyRateLimits(entry, limits, 0, makeSharing(3), 0);
    expect(findServer(entry).rateLimit.allowance.perSecond).toBeCloseTo(2);
    applyRateLimits(entry, limits, 0, makeSharing(3, true), 0);
    expect(findServer(entry).rateLimit.allowance.perSecond).toBeCloseTo(0.8);
  });

  // Many entries with small shares had each saved up one request while there were no callers, and
  // sent them all at once; a new leader knew of no limit before the entries told it.
  it('should hold over all entries while leaders change', () => {
    runSearch(fc.property(
      fc.double({ min: 0.3, max: 8, noNaN: true }),
      fc.integer({ min: 1, max: 40 }),
      fc.array(fc.integer({ min: 300, max: 4_000 }), { maxLength: 4 }),
      fc.integer({ min: 0, max: 5_000 }),
      (perSecond, entryCount, leaderMs, idleMs) => {
        const entries = Array.from({ length: entryCount }, () => makeTable());
        const makeShare = (position: number): RateSharing => (
          { entryCount, isPlaced: () => false, phase: position / entryCount });
        entries.forEach((entry, position) => (
          recordNamedRate(findServer(entry), perSecond, 0, makeShare(position), 0)));
        let leader = makeTable();
        const changes = leaderMs.map((unused, step) => (
          leaderMs.slice(0, step + 1).reduce((sum, ms) => sum + ms, 0)));
        const sent: number[] = [];
        Array.from({ length: 1_000 }, (unused, step) => 10 * step).forEach((now) => {
          if (changes.some((at) => at > now - 10 && at <= now)) leader = makeTable();
          entries.forEach((entry, position) => {
            if ((now / 10 + position) % 20 === 0) {
              applyNamedRates(leader, listNamedRates(entry, now), now);
              applyRateLimits(entry, listRateLimits(leader), now, makeShare(position), now);
            }
            const server = findServer(entry);
            if (now < idleMs || !hasAllowance(server.rateLimit.allowance, now)) return;
            takeWorkerAllowance(server, now);
            sent.push(now);
          });
        });
        expect(countMost(sent)).toBeLessThanOrEqual(6 * perSecond + 5);
      },
    ), SEARCH);
  });
});
