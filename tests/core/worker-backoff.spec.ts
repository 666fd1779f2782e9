import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { isServiceBlocked, listAvoidedIds, computeShortestBackoffMs } from '../../src/core/routing/workerEligibility';
import { applyRecords, makeRoutedWorkers, clearSuspension } from '../../src/core/routing/routedWorkers';
import type { RoutedWorker, RoutedWorkers } from '../../src/core/routing/routedWorkers';
import { chooseRoutedWorker } from '../../src/core/routing/workerChoice';
import {
  countProbe, computeRetryAfterMs, isBackingOff, mayProbe, NO_BACKOFF, extendBackoff,
} from '../../src/core/routing/workerBackoff';
import type { WorkerBackoff } from '../../src/core/routing/workerBackoff';
import { WorkerRecord } from '../../src/protocol/generated/beechlift';
import { runSearch } from '../fakes/runSearch';

const MOST_IN_REST = 2;

const makeWorkers = (count: number, born = 0): RoutedWorkers => {
  const workers = makeRoutedWorkers();
  applyRecords(workers, Array.from({ length: count }, (unused, position) => (
    WorkerRecord.fromPartial({
      said: {
        workerId: `w${position}`, service: 'rooms', address: `10.0.0.${position}:80`, slots: 6, state: 'ready', sequence: 1, born,
      },
      standing: 'ready',
    }))));
  return workers;
};

const findWorker = (workers: RoutedWorkers, id: string): RoutedWorker => (
  workers.byId.get(id) as RoutedWorker);

const choose = (workers: RoutedWorkers, now: number, tried: string[] = []) => (
  chooseRoutedWorker(workers, {
    service: 'rooms', promptTokens: 0, outputTokens: 0, remainingMs: 1_000, zone: '', tried, requiresFreeSlot: false,
  }, now)?.worker.id);

describe('the rest that a server asked for', () => {
  it('should end when the server said, and not before', () => {
    const rest = extendBackoff(NO_BACKOFF, 3_000, 1_000);
    expect([1_000, 3_999, 4_000].map((now) => isBackingOff(rest, now)))
      .toEqual([true, true, false]);
  });

  it('should not be shortened by a shorter one, and be prolonged by one that ends later', () => {
    const rest = extendBackoff(NO_BACKOFF, 3_000, 0);
    expect(extendBackoff(rest, 500, 1_000).until).toBe(3_000);
    expect(extendBackoff(rest, 3_000, 1_000).until).toBe(4_000);
  });

  // Guards against a faulty server's word, which would keep it from requests for good.
  it('should be bounded, and none where no time to come is named', () => {
    expect(extendBackoff(NO_BACKOFF, 3_600_000, 0).until).toBe(300_000);
    [0, -1, NaN].forEach((restMs) => expect(extendBackoff(NO_BACKOFF, restMs, 0)).toBe(NO_BACKOFF));
    expect(extendBackoff(NO_BACKOFF, Infinity, 0).until).toBe(300_000);
  });

  it('should let two requests through at even distances, and none twice', () => {
    const rest = extendBackoff(NO_BACKOFF, 3_000, 0);
    expect([0, 999, 1_000].map((now) => mayProbe(rest, now))).toEqual([false, false, true]);
    const once = countProbe(rest);
    expect([1_999, 2_000].map((now) => mayProbe(once, now))).toEqual([false, true]);
    expect(mayProbe(countProbe(once), 2_999)).toBe(false);
  });

  it('should be told to callers with a spread, and bounded', () => {
    expect([0, 1].map((share) => computeRetryAfterMs(2_000, share))).toEqual([2_000, 2_500]);
    expect(computeRetryAfterMs(40, 1)).toBe(290);
    expect(computeRetryAfterMs(300_000, 0)).toBe(10_000);
  });

  // Guards against any order of rests and requests in which a rest lets a third request through.
  it('should let two requests through in any of the rests that overlap', () => {
    const asks = fc.constantFrom(0, 0, 0, 300, 900, 3_000);
    const step = fc.record({ afterMs: fc.nat(700), restMs: asks });
    const property = fc.property(fc.array(step, { minLength: 1, maxLength: 60 }), (steps) => {
      const sent: number[] = [];
      const asked: { readonly at: number; readonly until: number }[] = [];
      steps.reduce(({ now: before, rest }, { afterMs, restMs }) => {
        const now = before + afterMs;
        if (isBackingOff(rest, now) && !mayProbe(rest, now)) return { now, rest };
        const counted: WorkerBackoff = isBackingOff(rest, now) ? countProbe(rest) : rest;
        sent.push(now);
        if (restMs > 0) asked.push({ at: now, until: now + restMs });
        return { now, rest: extendBackoff(counted, restMs, now) };
      }, { now: 0, rest: NO_BACKOFF });
      const most = Math.max(0, ...asked.map(({ at, until }) => (
        sent.filter((sentAt) => sentAt > at && sentAt < until).length)));
      expect(most).toBeLessThanOrEqual(MOST_IN_REST);
    });
    expect(runSearch(property, { runs: 500, seed: 4_711 })).toBeGreaterThan(0);
  });
});

describe('a choice among servers that rest', () => {
  const askRest = (workers: RoutedWorkers, id: string, restMs: number, now = 0): void => {
    const worker = findWorker(workers, id);
    worker.backoff = extendBackoff(worker.backoff, restMs, now);
  };

  it('should pass them by while another is left, tried or out of reach', () => {
    const workers = makeWorkers(2);
    askRest(workers, 'w0', 3_000);
    expect(choose(workers, 1_500)).toBe('w1');
    expect(choose(workers, 1_500, ['w1'])).toBe('w1');
    findWorker(workers, 'w1').suspendedUntil = 9_000;
    expect(choose(workers, 1_500)).toBe('w1');
  });

  it('should ask one that rests only where all do, and not one that turned the request away', () => {
    const workers = makeWorkers(2);
    askRest(workers, 'w0', 3_000);
    askRest(workers, 'w1', 6_000);
    expect([choose(workers, 500), choose(workers, 1_500), choose(workers, 1_500, ['w0'])])
      .toEqual([undefined, 'w0', undefined]);
    expect([isServiceBlocked(workers, 'rooms', 500), isServiceBlocked(workers, 'rooms', 1_500)])
      .toEqual([true, false]);
    expect(listAvoidedIds(workers, 'rooms', 1_500)).toEqual(['w1']);
    expect(computeShortestBackoffMs(workers, 'rooms', 1_500)).toBe(1_500);
  });

  // Guards against the end of a rest by an answer to another request.
  it('should keep the rest when an answer shows that the server is in reach', () => {
    const workers = makeWorkers(2);
    askRest(workers, 'w0', 3_000);
    clearSuspension(findWorker(workers, 'w0'));
    expect(choose(workers, 1_500)).toBe('w1');
  });

  it('should know nothing of a rest that the start before asked for', () => {
    const workers = makeWorkers(1, 1);
    askRest(workers, 'w0', 3_000);
    applyRecords(workers, [WorkerRecord.fromPartial({
      said: {
        workerId: 'w0', service: 'rooms', address: '10.0.0.9:80', state: 'ready', born: 2,
      },
      standing: 'ready',
    })]);
    expect(choose(workers, 500)).toBe('w0');
  });
});
