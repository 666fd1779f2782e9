import { describe, expect, it } from 'vitest';
import {
  applyRecords, makeRoutedWorkers, setConnectionShares,
} from '../../src/core/routing/routedWorkers';
import type { RoutedWorkers } from '../../src/core/routing/routedWorkers';
import { chooseRoutedWorker } from '../../src/core/routing/workerChoice';
import { WorkerRecord } from '../../src/protocol/generated/beechlift';

const makeWorkers = (count: number): RoutedWorkers => {
  const workers = makeRoutedWorkers();
  const records = Array.from({ length: count }, (unused, position) => WorkerRecord.fromPartial({
    said: {
      workerId: `w${position}`, service: 'rooms', address: `10.0.0.${position}:80`, zone: 'a', slots: 2, state: 'ready', sequence: 1,
    },
    standing: 'ready',
  }));
  applyRecords(workers, records, 0);
  return workers;
};

/** Sends requests while a server is available; returns the open requests of each server. */
const fill = (workers: RoutedWorkers, requests: number): number[] => {
  Array.from({ length: requests }).forEach(() => {
    const choice = chooseRoutedWorker(workers, {
      service: 'rooms', promptTokens: 0, outputTokens: 0, remainingMs: 1_000, zone: 'a', tried: [], requiresFreeSlot: false,
    }, 0);
    if (choice) choice.worker.inFlight += 1;
  });
  return [...workers.byId.values()].map(({ inFlight }) => inFlight);
};

describe('connections to a server', () => {
  /*
   * A server resets connections beyond its limit, and the requests on them break off. This happens
   * in a burst if each entry opens as many connections as it needs.
   */
  it('should stay within the share of the entry', () => {
    const workers = makeWorkers(2);
    setConnectionShares(workers, [{ name: 'rooms', maxConnections: 24 }], 8);
    expect(fill(workers, 20)).toEqual([3, 3]);
  });

  it('should be at least one, and unlimited when the service has no limit', () => {
    const workers = makeWorkers(1);
    setConnectionShares(workers, [{ name: 'rooms', maxConnections: 4 }], 100);
    expect(fill(workers, 5)).toEqual([1]);
    setConnectionShares(workers, [{ name: 'rooms', maxConnections: 0 }], 100);
    expect(fill(workers, 20)).toEqual([21]);
  });
});
