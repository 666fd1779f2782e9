import { describe, expect, it } from 'vitest';
import {
  canFinishWithin, mayLoadGrow, shortenForFreeSlots, shortenForLoad,
} from '../../src/core/routing/answerTime';
import type { AnswerSize } from '../../src/core/routing/answerTime';
import {
  applyRecords, recordAnswer, recordPace, recordSlotWait, makeRoutedWorkers,
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

const makeSize = (outputTokens: number, startMs = 0): AnswerSize => ({
  service: SERVICE, promptTokens: 1_000, outputTokens, startMs,
});

const findWorker = (workers: RoutedWorkers, id: string) => {
  const worker = workers.byId.get(id);
  if (!worker) throw new Error(`no worker "${id}"`);
  return worker;
};

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
    const size = makeSize(300);
    expect(canFinishWithin(workers, size, 4_500)).toBe(true);
    expect(canFinishWithin(workers, size, 3_500)).toBe(false);
    expect(canFinishWithin(workers, makeSize(100), 3_500)).toBe(true);
  });

  it('should include the slowness of the backend server', () => {
    const workers = makeWorkers();
    recordStreams(workers);
    recordPace(findWorker(workers, 'slow'), 30);
    const size = makeSize(300);
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
    const size = makeSize(300);
    expect(canFinishWithin(workers, size, 1_500)).toBe(false);
    expect(canFinishWithin(workers, size, 1_500, findWorker(workers, 'fast'))).toBe(false);
  });

  it('should return false while there are too few samples', () => {
    const size = { ...makeSize(10), promptTokens: 10 };
    expect(canFinishWithin(makeWorkers(), size, 60_000)).toBe(false);
  });

  // Fault: the time until a server takes a request up was not in the estimate of its answer.
  it('should include the time until the answer starts', () => {
    const workers = makeWorkers();
    recordStreams(workers);
    const server = findWorker(workers, 'fast');
    expect(canFinishWithin(workers, makeSize(300, 50), 4_500, server)).toBe(true);
    expect(canFinishWithin(workers, makeSize(300, 1_500), 4_500, server)).toBe(false);
  });

  // Fault: a decision that cannot be taken back relied on the mean time of answers.
  it('should leave twice the time if it has to be certain, as the load may grow', () => {
    expect(shortenForLoad(6_000, 0)).toBe(6_000);
    expect(shortenForLoad(6_000, 0.5)).toBe(4_000);
    expect(shortenForLoad(6_000, 1)).toBe(3_000);
  });

  // Fault: answers at servers that had free slots were begun by the pace that these had then, and
  // requests that took the slots later slowed the servers down by more than twice.
  it('should leave thrice the time if slots of its server are free', () => {
    expect(shortenForFreeSlots(6_000)).toBe(2_000);
  });
});

describe('load that may still grow', () => {
  // Guards against a margin for requests that find no slot at any entry: it would only refuse them.
  it('should not be expected once all slots are taken', () => {
    const workers = makeWorkers();
    const server = findWorker(workers, 'slow');
    server.inFlight = 1;
    server.othersInFlight = 2;
    expect(mayLoadGrow(workers, SERVICE, server)).toBe(true);
    server.inFlight = 2;
    expect(mayLoadGrow(workers, SERVICE, server)).toBe(false);
    expect(mayLoadGrow(workers, SERVICE)).toBe(true);
    findWorker(workers, 'fast').inFlight = 4;
    expect(mayLoadGrow(workers, SERVICE)).toBe(false);
  });

  // Guards against the same where this entry doesn't know all that runs at a server.
  it('should not be expected while requests wait for slots, or get none', () => {
    const workers = makeWorkers();
    recordSlotWait(workers, SERVICE, 5);
    expect(mayLoadGrow(workers, SERVICE)).toBe(true);
    [200, Infinity, 400, Infinity].forEach((ms) => recordSlotWait(workers, SERVICE, ms));
    expect(mayLoadGrow(workers, SERVICE)).toBe(false);
    Array.from({ length: 4 }, () => recordSlotWait(workers, SERVICE, 5));
    expect(mayLoadGrow(workers, SERVICE)).toBe(true);
  });
});
