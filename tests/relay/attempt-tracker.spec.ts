import { describe, expect, it } from 'vitest';
import { applyRecords, makeRoutedWorkers } from '../../src/core/routing/routedWorkers';
import type { RoutedWorker } from '../../src/core/routing/routedWorkers';
import { WorkerRecord } from '../../src/protocol/generated/beechlift';
import type { PlacedReport } from '../../src/protocol/generated/beechlift';
import { AttemptTracker } from '../../src/relay/attemptTracker';
import type { AttemptTrackerParts } from '../../src/relay/attemptTracker';

const makeWorker = (): RoutedWorker => {
  const workers = makeRoutedWorkers();
  applyRecords(workers, [WorkerRecord.fromPartial({
    said: {
      workerId: 'w', service: 'rooms', address: 'w:80', state: 'ready',
    },
    standing: 'ready',
  })], 0);
  return workers.byId.get('w') as RoutedWorker;
};

/** Counts the reports on a stream after each of its chunks. */
const countReports = (chunkCounts: readonly number[]): number[] => {
  const reports: PlacedReport[] = [];
  const writer = { firstChunkAt: 0, lastChunkAt: 0, chunkCount: 0 };
  const tracker = new AttemptTracker({
    site: { workersEpoch: 'e' },
    placeClient: { report: (report: PlacedReport) => reports.push(report) },
    clock: { now: () => 0 },
    picked: { worker: makeWorker(), placeId: 'p', epoch: 'e' },
    writer,
    facts: { tokens: undefined },
    isStream: true,
  } as unknown as AttemptTrackerParts);
  return chunkCounts.map((chunkCount) => {
    writer.chunkCount = chunkCount;
    tracker.recordChunk();
    return reports.length;
  });
};

describe('the reports on a stream', () => {
  // Fault: the begin of a stream was not reported if its first bytes held more than one event.
  it.each([
    ['one', [1, 2, 3], [1, 1, 1]],
    ['several', [3, 4, 5], [1, 1, 1]],
    ['no complete', [0, 1, 2], [0, 1, 1]],
  ])('should begin with its first event if the first bytes hold %s', (name, chunkCounts, reported) => {
    expect(countReports(chunkCounts)).toEqual(reported);
  });
});
