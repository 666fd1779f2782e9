import { describe, expect, it } from 'vitest';
import {
  applyRecords, makeRoutedWorkers, recordAnswer, recordPace,
} from '../../src/core/routing/routedWorkers';
import type { AdmittedRequest } from '../../src/relay/admitRequest';
import { canAnswerInTime } from '../../src/relay/leavingEntry';
import type { RelaySite } from '../../src/relay/relaySite';
import type { RequestFacts } from '../../src/relay/requestDialect';
import type { PickedWorker } from '../../src/relay/pickRequest';
import { WorkerRecord } from '../../src/protocol/generated/beechlift';
import { makeRoute } from '../fakes/routings';

const SERVICE = 'scribe';
const REMAINING_MS = 5_000;
/** Times of a stream at the server of these tests, in milliseconds. */
const FIRST_EVENT_MS = 100;
const OUTPUT_MS = 900;

const workers = makeRoutedWorkers();
applyRecords(workers, [WorkerRecord.fromPartial({
  said: { workerId: 'w', service: SERVICE, slots: 4 }, standing: 'ready',
})], 0);
const worker = [...workers.byId.values()][0] as PickedWorker['worker'];
recordPace(worker, 10);
Array.from({ length: 20 }).forEach(() => recordAnswer(workers, worker, {
  holdMs: FIRST_EVENT_MS + OUTPUT_MS,
  paceMs: 0,
  firstEvent: { ms: FIRST_EVENT_MS, tokens: 1_000 },
  output: { ms: OUTPUT_MS, tokens: 90 },
  failed: false,
}));

const leaving = { remainingMs: REMAINING_MS, locatedShare: 0.75, mayTakeRisks: true };
const site = { workers, isLeaving: true, leaving } as unknown as RelaySite;
const siteOfMany = { ...site, hasOtherEntries: true } as unknown as RelaySite;
const admitted = {
  service: SERVICE, route: makeRoute({ kind: 'stream', timeoutMs: 20_000 }),
} as unknown as AdmittedRequest;
const facts = {
  tokens: { prompt: 1_000, output: 90, expected: 90 }, maxWaitMs: 20_000,
} as unknown as RequestFacts;

const decide = (expectedMs: number): boolean => canAnswerInTime(site, admitted, facts, {
  worker, expectedMs, placeId: 'p', epoch: 'e',
});

describe('an entry that shuts down', () => {
  // Fault: it began streams at servers that were to take them up much later than usual, by the
  // leader's own estimate, and aborted them at its end.
  it('should begin an answer only if it ends in time after the requests before it', () => {
    expect(decide(FIRST_EVENT_MS)).toBe(true);
    expect(decide(REMAINING_MS / 2)).toBe(false);
  });

  // Fault: streams were begun at servers with free slots. Others took these, and the streams were
  // aborted at the end. Where no slot is free, a refusal would cost their callers more.
  it('should leave an answer to other entries while the load of its server may grow', () => {
    const picked = {
      worker, expectedMs: FIRST_EVENT_MS, placeId: 'p', epoch: 'e',
    };
    const longer = {
      ...facts, tokens: { prompt: 1_000, output: 200, expected: 200 },
    } as unknown as RequestFacts;
    const decideLonger = (at: RelaySite): boolean => canAnswerInTime(at, admitted, longer, picked);
    expect(decideLonger(site)).toBe(true);
    expect(decideLonger(siteOfMany)).toBe(false);
    worker.inFlight = worker.slots;
    expect(decideLonger(siteOfMany)).toBe(true);
    worker.inFlight = 0;
  });
});
