import { describe, expect, it } from 'vitest';
import { LeaderState } from '../../src/control/leaderState';
import {
  applyRecords, makeRoutedWorkers, recordPace,
} from '../../src/core/routing/routedWorkers';
import { listLoads, listSpeeds } from '../../src/core/routing/workerLoads';
import type { RoutedWorkers } from '../../src/core/routing/routedWorkers';
import { chooseRoutedWorker } from '../../src/core/routing/workerChoice';
import { NO_RATE_LIMIT } from '../../src/core/routing/workerRateLimit';
import { WatchRequest, WorkerLoad, WorkerRecord } from '../../src/protocol/generated/beechlift';
import { makeAccount } from '../fakes/routings';

/*
 * On large sites the leader's processor was saturated by watch requests, whose cost grew with the
 * square of the site's size. Its replies came late, and entries timed out and asked again. A
 * confirmed change took seconds to take effect at entries that it did not reach, and requests went
 * unserved. These tests limit the number of reads per event, which unlike times does not depend on
 * the machine.
 */

/** Most reads per server or entry that an event may cost, at any size of the site. */
const MAX_READS = 6;

const SIZES = [25, 100, 400];

const makeId = (position: number): string => `w${position}`;

/** Makes servers with an observed speed; `reads` counts the reads of it. */
const makeObservedWorkers = (count: number): { workers: RoutedWorkers; reads: () => number } => {
  const workers = makeRoutedWorkers();
  applyRecords(workers, Array.from({ length: count }, (unused, position) => (
    WorkerRecord.fromPartial({
      said: {
        workerId: makeId(position), service: 'lm', address: `10.0.0.1:${position}`, zone: 'a', slots: 4, state: 'ready', sequence: 1,
      },
      standing: 'ready',
    }))), 0);
  let reads = 0;
  workers.byId.forEach((worker) => {
    recordPace(worker, 10);
    const { paceMs } = worker;
    Object.defineProperty(worker, 'paceMs', {
      get: () => {
        reads += 1;
        return paceMs;
      },
    });
  });
  return { workers, reads: () => reads };
};

const choose = (workers: RoutedWorkers): void => {
  chooseRoutedWorker(workers, {
    service: 'lm', promptTokens: 100, outputTokens: 10, remainingMs: 9_000, zone: 'a', tried: [], requiresFreeSlot: true,
  }, 0);
};

/** Makes a watch request of an entry with loads on some servers; reports each read of them. */
const makeWatchRequest = (entryId: string, onRead: () => void): WatchRequest => {
  const loads = Array.from({ length: 10 }, (unused, position) => (
    WorkerLoad.fromPartial({ workerId: makeId(position), inFlight: 1, slowness: 1_000 })));
  const request = WatchRequest.fromPartial({
    entryId, callerAddress: `${entryId}:1`, zone: 'a', state: 'active',
  });
  return Object.defineProperty(request, 'loads', {
    get: () => {
      onRead();
      return loads;
    },
  });
};

describe('cost of one event', () => {
  it.each(SIZES)('should be a few reads per server for a choice among %i', (count) => {
    const { workers, reads } = makeObservedWorkers(count);
    choose(workers);
    expect(reads()).toBeLessThanOrEqual(MAX_READS * count);
  });

  // In a burst nearly all servers are full, and each decision looked at all that is known of them.
  it('should not look at more than the slots of servers that have none free', () => {
    const { workers } = makeObservedWorkers(100);
    let looks = 0;
    workers.byId.forEach((worker) => {
      worker.inFlight = worker.slots;
      Object.defineProperty(worker, 'rateLimit', {
        get: () => {
          looks += 1;
          return NO_RATE_LIMIT;
        },
      });
    });
    choose(workers);
    expect(looks).toBe(0);
  });

  it.each(SIZES)('should be a few reads per server for the loads of %i', (count) => {
    const { workers, reads } = makeObservedWorkers(count);
    listLoads(workers);
    listSpeeds(workers);
    expect(reads()).toBeLessThanOrEqual(MAX_READS * count);
  });

  it.each(SIZES)('should not grow with the entries for a watch request of one of %i', (count) => {
    let now = 0;
    const leader = new LeaderState({ clock: { now: () => now }, leaseMs: 4_000, limitSlack: 0 });
    let reads = 0;
    const requests = Array.from({ length: count }, (unused, position) => (
      makeWatchRequest(`e${position}`, () => {
        reads += 1;
      })));
    requests.forEach((request) => leader.recordEntry(request));
    now += 100;
    reads = 0;
    requests.forEach((request) => {
      leader.recordEntry(request);
      leader.buildEntryPart(request);
    });
    expect(reads).toBeLessThanOrEqual(MAX_READS * count);
  });

  it.each(SIZES)('should read what one of %i entries tells of earlier charges once', (count) => {
    const leader = new LeaderState({ clock: { now: () => 0 }, leaseMs: 4_000, limitSlack: 0 });
    leader.configureAccounts([makeAccount({ perSecond: 1_000, burst: 1_000 })]);
    const SLOTS = 32;
    let reads = 0;
    const units = new Proxy(Array<number>(SLOTS).fill(1), {
      get: (target, key, receiver) => {
        if (typeof key === 'string' && /^\d+$/u.test(key)) reads += 1;
        return Reflect.get(target, key, receiver) as unknown;
      },
    });
    const requests = Array.from({ length: count }, (unused, position) => ({
      ...makeWatchRequest(`e${position}`, () => undefined),
      recentCharges: [{ account: 'lobby', units }],
      chargesEpoch: 'x',
      knownEntries: count,
    }));
    requests.forEach((request) => leader.recordEntry(request, 'y'));
    requests.forEach((request) => leader.recordEntry(request, 'y'));
    expect(reads).toBeLessThanOrEqual(SLOTS * count);
  });
});
