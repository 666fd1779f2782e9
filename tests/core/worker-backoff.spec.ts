import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import {
  computeShortestBackoffMs, isServiceBlocked, listAvoidedIds,
} from '../../src/core/routing/workerEligibility';
import { applyRecords, clearSuspension, makeRoutedWorkers } from '../../src/core/routing/routedWorkers';
import type { RoutedWorker, RoutedWorkers } from '../../src/core/routing/routedWorkers';
import { chooseRoutedWorker } from '../../src/core/routing/workerChoice';
import {
  computeBackoffRetryAfterMs, countProbe, extendBackoff, isBackingOff, mayProbe, NO_BACKOFF,
} from '../../src/core/routing/workerBackoff';
import type { WorkerBackoff } from '../../src/core/routing/workerBackoff';
import { WorkerRecord } from '../../src/protocol/generated/beechlift';
import { runSearch } from '../fakes/runSearch';

const MAX_PROBES = 2;

const makeWorkers = (count: number, born = 0): RoutedWorkers => {
  const workers = makeRoutedWorkers();
  applyRecords(workers, Array.from({ length: count }, (unused, position) => (
    WorkerRecord.fromPartial({
      said: {
        workerId: `w${position}`, service: 'rooms', address: `10.0.0.${position}:80`, slots: 6, state: 'ready', sequence: 1, born,
      },
      standing: 'ready',
    }))), 0);
  return workers;
};

const findWorker = (workers: RoutedWorkers, id: string): RoutedWorker => (
  workers.byId.get(id) as RoutedWorker);

const choose = (workers: RoutedWorkers, now: number, tried: string[] = []) => (
  chooseRoutedWorker(workers, {
    service: 'rooms', promptTokens: 0, outputTokens: 0, remainingMs: 1_000, zone: '', tried, requiresFreeSlot: false,
  }, now)?.worker.id);

describe('backoff requested by a server', () => {
  it('should end at the time that the server named, not before', () => {
    const backoff = extendBackoff(NO_BACKOFF, 3_000, 1_000);
    expect([1_000, 3_999, 4_000].map((now) => isBackingOff(backoff, now)))
      .toEqual([true, true, false]);
  });

  it('should not be shortened by a shorter one, and be extended by one that ends later', () => {
    const backoff = extendBackoff(NO_BACKOFF, 3_000, 0);
    expect(extendBackoff(backoff, 500, 1_000).until).toBe(3_000);
    expect(extendBackoff(backoff, 3_000, 1_000).until).toBe(4_000);
  });

  // A faulty server must not be able to exclude itself from requests for good.
  it('should be limited, and ignored without a positive duration', () => {
    expect(extendBackoff(NO_BACKOFF, 3_600_000, 0).until).toBe(300_000);
    [0, -1, NaN].forEach((durationMs) => expect(extendBackoff(NO_BACKOFF, durationMs, 0))
      .toBe(NO_BACKOFF));
    expect(extendBackoff(NO_BACKOFF, Infinity, 0).until).toBe(300_000);
  });

  it('should allow two evenly spaced probes, and no more', () => {
    const backoff = extendBackoff(NO_BACKOFF, 3_000, 0);
    expect([0, 999, 1_000].map((now) => mayProbe(backoff, now))).toEqual([false, false, true]);
    const probedOnce = countProbe(backoff);
    expect([1_999, 2_000].map((now) => mayProbe(probedOnce, now))).toEqual([false, true]);
    expect(mayProbe(countProbe(probedOnce), 2_999)).toBe(false);
  });

  it('should be spread over the retry times of callers, and limited', () => {
    expect([0, 1].map((share) => computeBackoffRetryAfterMs(2_000, share))).toEqual([2_000, 2_500]);
    expect(computeBackoffRetryAfterMs(40, 1)).toBe(290);
    expect(computeBackoffRetryAfterMs(300_000, 0)).toBe(10_000);
  });

  // No order of backoff requests and probes may allow a third probe within one backoff.
  it('should allow at most two probes in any of several overlapping backoffs', () => {
    const durations = fc.constantFrom(0, 0, 0, 300, 900, 3_000);
    const step = fc.record({ afterMs: fc.nat(700), durationMs: durations });
    const property = fc.property(fc.array(step, { minLength: 1, maxLength: 60 }), (steps) => {
      const sent: number[] = [];
      const requested: { readonly at: number; readonly until: number }[] = [];
      steps.reduce(({ now: previous, backoff }, { afterMs, durationMs }) => {
        const now = previous + afterMs;
        if (isBackingOff(backoff, now) && !mayProbe(backoff, now)) return { now, backoff };
        const counted: WorkerBackoff = isBackingOff(backoff, now) ? countProbe(backoff) : backoff;
        sent.push(now);
        if (durationMs > 0) requested.push({ at: now, until: now + durationMs });
        return { now, backoff: extendBackoff(counted, durationMs, now) };
      }, { now: 0, backoff: NO_BACKOFF });
      const maxProbes = Math.max(0, ...requested.map(({ at, until }) => (
        sent.filter((sentAt) => sentAt > at && sentAt < until).length)));
      expect(maxProbes).toBeLessThanOrEqual(MAX_PROBES);
    });
    expect(runSearch(property, { runs: 500, seed: 4_711 })).toBeGreaterThan(0);
  });
});

describe('choice among servers that are backing off', () => {
  const requestBackoff = (
    workers: RoutedWorkers,
    id: string,
    durationMs: number,
    now = 0,
  ): void => {
    const worker = findWorker(workers, id);
    worker.backoff = extendBackoff(worker.backoff, durationMs, now);
  };

  it('should avoid them while another server is left, even a tried or unreachable one', () => {
    const workers = makeWorkers(2);
    requestBackoff(workers, 'w0', 3_000);
    expect(choose(workers, 1_500)).toBe('w1');
    expect(choose(workers, 1_500, ['w1'])).toBe('w1');
    findWorker(workers, 'w1').suspendedUntil = 9_000;
    expect(choose(workers, 1_500)).toBe('w1');
  });

  it('should probe one only when all are backing off, and not one that rejected the request', () => {
    const workers = makeWorkers(2);
    requestBackoff(workers, 'w0', 3_000);
    requestBackoff(workers, 'w1', 6_000);
    expect([choose(workers, 500), choose(workers, 1_500), choose(workers, 1_500, ['w0'])])
      .toEqual([undefined, 'w0', undefined]);
    expect([isServiceBlocked(workers, 'rooms', 500), isServiceBlocked(workers, 'rooms', 1_500)])
      .toEqual([true, false]);
    expect(listAvoidedIds(workers, 'rooms', 1_500)).toEqual(['w1']);
    expect(computeShortestBackoffMs(workers, 'rooms', 1_500)).toBe(1_500);
  });

  // An answer to another request must not end the backoff.
  it('should keep the backoff when an answer shows that the server is reachable', () => {
    const workers = makeWorkers(2);
    requestBackoff(workers, 'w0', 3_000);
    clearSuspension(findWorker(workers, 'w0'));
    expect(choose(workers, 1_500)).toBe('w1');
  });

  it('should ignore a backoff requested by an earlier incarnation', () => {
    const workers = makeWorkers(1, 1);
    requestBackoff(workers, 'w0', 3_000);
    applyRecords(workers, [WorkerRecord.fromPartial({
      said: {
        workerId: 'w0', service: 'rooms', address: '10.0.0.9:80', state: 'ready', born: 2,
      },
      standing: 'ready',
    })], 0);
    expect(choose(workers, 500)).toBe('w0');
  });
});
