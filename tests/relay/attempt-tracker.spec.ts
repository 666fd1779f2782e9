import { describe, expect, it } from 'vitest';
import { applyRecords, findServiceStats, makeRoutedWorkers } from '../../src/core/routing/routedWorkers';
import type { RoutedWorker, RoutedWorkers } from '../../src/core/routing/routedWorkers';
import { WorkerRecord } from '../../src/protocol/generated/beechlift';
import type { PlacedReport } from '../../src/protocol/generated/beechlift';
import { AttemptTracker } from '../../src/relay/attemptTracker';
import type { AttemptTrackerParts } from '../../src/relay/attemptTracker';

const makeWorker = (workers = makeRoutedWorkers()): RoutedWorker => {
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
    site: { workersEpoch: 'e', countSlot: () => undefined },
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

/** Reports on a whole stream, whose first events came before the attempt that ends it. */
const reportContinued = (chunksBefore: number): [PlacedReport | undefined, RoutedWorkers] => {
  const reports: PlacedReport[] = [];
  const writer = { firstChunkAt: 100, lastChunkAt: 600, chunkCount: chunksBefore };
  const workers = makeRoutedWorkers();
  const worker = makeWorker(workers);
  const tracker = new AttemptTracker({
    site: { workersEpoch: 'e', workers, countSlot: () => undefined },
    placeClient: { report: (report: PlacedReport) => reports.push(report) },
    clock: { now: () => 50 + 100 * chunksBefore },
    picked: { worker, placeId: 'p', epoch: 'e' },
    writer,
    facts: { tokens: { prompt: 40, expected: 8 } },
    isStream: true,
  } as unknown as AttemptTrackerParts);
  writer.chunkCount = 8;
  tracker.recordResult(false);
  tracker.reportOutcome('answered');
  return [reports.at(-1), workers];
};

describe('the times of a stream', () => {
  const readWeights = (workers: RoutedWorkers): number[] => {
    const { firstEvent, output } = findServiceStats(workers, 'rooms');
    return [firstEvent.weight, output.weight];
  };

  it('should be learnt from a server that sent all of it', () => {
    const [report, workers] = reportContinued(0);
    expect(report).toMatchObject({ phase: 'ended', firstEventMs: 50, outputMs: 500 });
    expect(readWeights(workers).every((weight) => weight > 0)).toBe(true);
  });

  // Fault: the times of two servers counted as those of the second one, with a first event before
  // the request was sent.
  it('should not be learnt from a server that continued it', () => {
    const [report, workers] = reportContinued(4);
    expect(report).toMatchObject({ phase: 'ended', firstEventMs: 0, outputMs: 0 });
    expect(readWeights(workers)).toEqual([0, 0]);
  });
});

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
