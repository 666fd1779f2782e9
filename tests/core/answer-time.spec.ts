import { describe, expect, it } from 'vitest';
import { canFinishWithin, shortenByOverrun } from '../../src/core/routing/answerTime';
import {
  applyRecords, recordAnswer, recordPace, makeRoutedWorkers,
} from '../../src/core/routing/routedWorkers';
import type { RoutedWorkers } from '../../src/core/routing/routedWorkers';
import { WorkerRecord } from '../../src/protocol/generated/beechlift';

const SERVICE = 'scribe';

const makeWorkers = (): RoutedWorkers => {
  const workers = makeRoutedWorkers();
  applyRecords(workers, ['fast', 'slow'].map((workerId) => WorkerRecord.fromPartial({
    said: { workerId, service: SERVICE, slots: 4 }, standing: 'ready',
  })), 0);
  return workers;
};

const findWorker = (workers: RoutedWorkers, id: string) => {
  const worker = workers.byId.get(id);
  if (!worker) throw new Error(`no worker "${id}"`);
  return worker;
};

/** Records a stream that took a multiple of the usual time. */
const recordOverrun = (workers: RoutedWorkers, factor: number): void => recordAnswer(workers, findWorker(workers, 'fast'), {
  holdMs: factor * 2_100,
  paceMs: 0,
  firstEvent: { ms: factor * 100, tokens: 1_000 },
  output: { ms: factor * 2_000, tokens: 200 },
  failed: false,
});

const recordStreams = (workers: RoutedWorkers, id = 'fast'): void => {
  const worker = findWorker(workers, id);
  recordPace(worker, 10);
  Array.from({ length: 20 }, (unused, position) => 100 + 10 * position).forEach((tokens) => {
    recordAnswer(workers, worker, {
      holdMs: 100 + 10 * tokens,
      paceMs: 0,
      firstEvent: { ms: 100, tokens: 1_000 },
      output: { ms: 10 * tokens, tokens },
      failed: false,
    });
  });
};

describe('estimated time of an answer', () => {
  it('should estimate a stream with the most tokens that it may have', () => {
    const workers = makeWorkers();
    recordStreams(workers);
    const size = { service: SERVICE, promptTokens: 1_000, outputTokens: 300 };
    expect(canFinishWithin(workers, size, 4_500)).toBe(true);
    expect(canFinishWithin(workers, size, 3_500)).toBe(false);
    expect(canFinishWithin(workers, { ...size, outputTokens: 100 }, 3_500)).toBe(true);
  });

  it('should include the slowness of the backend server', () => {
    const workers = makeWorkers();
    recordStreams(workers);
    recordPace(findWorker(workers, 'slow'), 30);
    const size = { service: SERVICE, promptTokens: 1_000, outputTokens: 300 };
    expect(canFinishWithin(workers, size, 4_500, findWorker(workers, 'fast'))).toBe(true);
    expect(canFinishWithin(workers, size, 4_500, findWorker(workers, 'slow'))).toBe(false);
  });

  /*
   * A service may give both whole answers and streams. If the time of a whole answer counts as that
   * of one stream event, the server seems slow and the times of its streams are divided by that.
   */
  it('should not depend on whole answers of the same service', () => {
    const workers = makeWorkers();
    recordPace(findWorker(workers, 'fast'), 10);
    Array.from({ length: 20 }, () => recordAnswer(workers, findWorker(workers, 'slow'), {
      holdMs: 1_500, paceMs: 1_500, firstEvent: undefined, output: undefined, failed: false,
    }));
    recordStreams(workers, 'slow');
    const size = { service: SERVICE, promptTokens: 1_000, outputTokens: 300 };
    expect(canFinishWithin(workers, size, 1_500)).toBe(false);
    expect(canFinishWithin(workers, size, 1_500, findWorker(workers, 'fast'))).toBe(false);
  });

  it('should return false while there are too few samples', () => {
    const size = { service: SERVICE, promptTokens: 10, outputTokens: 10 };
    expect(canFinishWithin(makeWorkers(), size, 60_000)).toBe(false);
  });

  // Fault: a decision that cannot be taken back relied on the mean, whatever answers had taken.
  it('should leave more time the further answers have exceeded it, and less once they no longer do', () => {
    const workers = makeWorkers();
    recordStreams(workers);
    const readOverrun = (): number => 3_000 / shortenByOverrun(workers, SERVICE, 6_000);
    expect(readOverrun()).toBeCloseTo(1, 1);
    recordOverrun(workers, 3);
    expect(readOverrun()).toBeCloseTo(3, 1);
    recordOverrun(workers, 0.1);
    expect(readOverrun()).toBeCloseTo(3, 1);
    Array.from({ length: 300 }, () => recordOverrun(workers, 1));
    expect(readOverrun()).toBeCloseTo(1, 1);
  });

  it('should leave the margin for a greater load to a service without measurements', () => {
    expect(shortenByOverrun(makeWorkers(), SERVICE, 6_000)).toBe(3_000);
  });
});
