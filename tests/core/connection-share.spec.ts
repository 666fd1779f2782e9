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
  applyRecords(workers, records);
  return workers;
};

/** Sends as many requests as find a server; returns how many each server has then. */
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
   * In a burst a server resets connections, and requests that it had taken break off. It takes 24
   * connections from all entries together, and each of the eight entries opened what it liked.
   */
  it('should stay within the share of the entry', () => {
    const workers = makeWorkers(2);
    setConnectionShares(workers, [{ name: 'rooms', maxConnections: 24 }], 8);
    expect(fill(workers, 20)).toEqual([3, 3]);
  });

  it('should be one at least, and unbounded where the service sets no bound', () => {
    const workers = makeWorkers(1);
    setConnectionShares(workers, [{ name: 'rooms', maxConnections: 4 }], 100);
    expect(fill(workers, 5)).toEqual([1]);
    setConnectionShares(workers, [{ name: 'rooms', maxConnections: 0 }], 100);
    expect(fill(workers, 20)).toEqual([21]);
  });
});
