import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { makePlacementTables } from '../../src/core/routing/makePlacementTables';
import { placeFreed, placeWaiting, requestSlots } from '../../src/core/routing/placement';
import type { PlacementDecision } from '../../src/core/routing/placement';
import { applyPlacementUpdate } from '../../src/core/routing/placementUpdates';
import type { PlacementUpdate } from '../../src/core/routing/placementUpdates';
import { compareOrder, computeOrderKey } from '../../src/core/routing/placementOrder';
import type { PlacementTables, SlotRequest } from '../../src/core/routing/placementTables';
import { addSample } from '../../src/core/routing/linearFit';
import { applyRecords, findServiceStats, makeRoutedWorkers } from '../../src/core/routing/routedWorkers';
import type { RoutedWorkers } from '../../src/core/routing/routedWorkers';
import { WaitingQueue } from '../../src/core/routing/waitingQueue';
import { WorkerRecord } from '../../src/protocol/generated/beechlift';

const SERVICES = ['lm', 'other'];
const PHASES = ['running', 'ended', 'failed', 'dropped', 'rejected', 'unreached'] as const;

const makeRecord = (workerId: string, service: string, slots: number): WorkerRecord => (
  WorkerRecord.fromPartial({
    said: {
      workerId, service, address: `10.0.0.${workerId}:80`, zone: 'a', slots, state: 'ready', sequence: 1,
    },
    standing: 'ready',
  }));

const requestFields = fc.record({
  entryId: fc.constantFrom('e1', 'e2', 'e3'),
  service: fc.constantFrom(...SERVICES),
  rank: fc.nat(2),
  promptTokens: fc.nat(20_000),
  outputTokens: fc.nat(400),
  targetMs: fc.constantFrom(200, 1_000, 60_000),
  tried: fc.subarray(['0', '2']),
  avoidedIds: fc.subarray(['1', '3']),
});

const steps = fc.array(fc.oneof(
  { weight: 4, arbitrary: fc.record({ kind: fc.constant('request' as const), batch: fc.array(requestFields, { minLength: 1, maxLength: 3 }) }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('report' as const), position: fc.nat(), phase: fc.constantFrom(...PHASES) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('tick' as const), ms: fc.constantFrom(25, 400) }) },
), { maxLength: 60 });

type Step = typeof steps extends fc.Arbitrary<(infer Item)[]> ? Item : never;

/** Runs steps on placement tables; no time passes between two ticks. */
class QueueRun {
  now = 0;

  private count = 0;

  readonly tables: PlacementTables;

  constructor() {
    const workers = makeRoutedWorkers();
    applyRecords(workers, [
      makeRecord('0', 'lm', 2), makeRecord('1', 'lm', 1), makeRecord('2', 'other', 1), makeRecord('3', 'other', 2),
    ], 0);
    this.tables = makePlacementTables(workers);
  }

  run(step: Step): PlacementDecision[] {
    if (step.kind === 'request') return requestSlots(this.tables, step.batch.map((fields) => this.makeRequest(fields)), this.now);
    if (step.kind === 'report') {
      this.report(step.position, step.phase);
      return placeFreed(this.tables, this.now);
    }
    this.now += step.ms;
    return placeWaiting(this.tables, this.now);
  }

  private makeRequest(fields: Partial<SlotRequest>): SlotRequest {
    this.count += 1;
    return {
      ...fields, id: `r${this.count}`, deadlineAt: this.now + 60_000, zone: 'a', askedAt: this.now,
    } as SlotRequest;
  }

  private report(position: number, phase: PlacementUpdate['phase']): void {
    const ids = [...this.tables.placed.keys()];
    const id = ids[position % Math.max(1, ids.length)];
    if (id === undefined) return;
    applyPlacementUpdate(this.tables, {
      id, phase, paceMs: 0, firstEventMs: 0, outputMs: 0,
    }, this.now);
  }
}

const addSampleToAll = (workers: RoutedWorkers, ms: number): void => SERVICES.forEach((service) => (
  addSample(findServiceStats(workers, service).firstEvent, 1, ms)));

describe('requests that wait for a slot', () => {
  // Guards against a free slot that no waiting request gets, as only what has changed is looked at.
  it('should leave nothing to grant for a look at all of them', () => {
    fc.assert(fc.property(steps, (plan) => {
      const run = new QueueRun();
      plan.forEach((step) => run.run(step));
      expect(placeWaiting(run.tables, run.now).filter(({ kind }) => kind === 'grant')).toEqual([]);
    }), { numRuns: 300 });
  });

  // Guards against another order of grants than by a look at all requests after each step.
  it('should get the same slots as by a look at all of them after each step', () => {
    fc.assert(fc.property(steps, (plan) => {
      const run = new QueueRun();
      const model = new QueueRun();
      plan.forEach((step) => {
        const decisions = run.run(step);
        const expected = model.run(step);
        expect(placeWaiting(model.tables, model.now)).toEqual([]);
        expect(decisions).toEqual(expected);
      });
    }), { numRuns: 300 });
  });

  // Guards against a leader that never ends a look at its queue: another request was removed in
  // place of the one that got a slot.
  it('should be removed whatever times their entries report', () => {
    const batch = fc.array(requestFields, { minLength: 30, maxLength: 40 });
    fc.assert(fc.property(batch, fc.nat(), (items, seed) => {
      const workers = makeRoutedWorkers();
      const queue = new WaitingQueue(workers);
      const requests = items.map((fields, position) => ({
        ...fields, id: `r${position}`, deadlineAt: 1, zone: 'a', askedAt: (position * seed) % 7,
      }));
      requests.forEach((request, position) => {
        queue.set(request.id, request);
        const ms = position === 10 ? Infinity : 1;
        if (position >= 10 && position < 20) addSampleToAll(workers, ms);
      });
      requests.forEach(({ id, service }) => {
        queue.remove(id);
        expect(queue.list(service).some((other) => other.id === id)).toBe(false);
      });
      expect(queue.services).toEqual([]);
    }), { numRuns: 300 });
  });

  it('should be counted and listed in the order of a whole sort', () => {
    const item = fc.record({ fields: requestFields, isRemoved: fc.boolean() });
    fc.assert(fc.property(fc.array(item, { maxLength: 40 }), (items) => {
      const workers = makeRoutedWorkers();
      const queue = new WaitingQueue(workers);
      const requests = items.map(({ fields }, position) => ({
        ...fields, id: `r${position}`, deadlineAt: 1, zone: 'a', askedAt: position % 5,
      }));
      requests.forEach((request) => queue.set(request.id, request));
      items.forEach(({ isRemoved }, position) => {
        if (isRemoved) queue.remove(`r${position}`);
      });
      const left = requests.filter((unused, position) => !items[position]?.isRemoved);
      SERVICES.forEach((service) => {
        const expected = left.filter((request) => request.service === service)
          .map((request) => ({ request, key: computeOrderKey(workers, request) }))
          .sort((a, b) => compareOrder(a.key, b.key))
          .map(({ request }) => request);
        expect(queue.list(service)).toEqual(expected);
        const last = expected.at(-1);
        expect(last ? queue.countAhead(last) : 0).toBe(Math.max(0, expected.length - 1));
      });
      expect(queue.size).toBe(left.length);
    }), { numRuns: 200 });
  });
});
