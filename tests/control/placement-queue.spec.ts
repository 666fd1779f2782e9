import { describe, expect, it } from 'vitest';
import { PlacementService } from '../../src/control/placementService';
import { PlacementStream } from '../../src/control/placementStream';
import { NO_RESTRICTION } from '../../src/core/quarantine/placementRestriction';
import { PlaceRequest, WorkerRecord } from '../../src/protocol/generated/beechlift';

/** Most waiting requests that one message of an entry may cause to be looked at. */
const MAX_LOOKUPS = 4;

const QUEUES = [0, 100, 1_000, 4_000];
const ENGINES = [42, 98, 300];
const CASES = ENGINES.flatMap((engines) => QUEUES.map((waiting) => ({ engines, waiting })));

const makeRequest = (placeId: string): PlaceRequest => PlaceRequest.fromPartial({
  placeId, entryId: 'e1', service: 'm', targetMs: 1e9, remainingMs: 1e9, promptTokens: 100, outputTokens: 10, fingerprint: placeId,
});

const makeReport = (placeId: string, phase: string, paceMs = 0) => ({
  placeId, phase, paceMs, firstEventMs: 0, outputMs: 0,
});

/** A placement service all of whose slots are in use while requests wait. */
class QueueRig {
  private lookups = 0;

  private readonly clock = { now: () => 0 };

  private readonly service = new PlacementService({
    clock: this.clock,
    handleUnplaced: () => undefined,
    findRestriction: () => {
      this.lookups += 1;
      return NO_RESTRICTION;
    },
  });

  private readonly stream = new PlacementStream(
    { send: () => undefined, end: () => undefined },
    this.clock,
  );

  constructor({ engines, waiting }: typeof CASES[number]) {
    this.service.applyRecords(Array.from({ length: engines }, (unused, position) => (
      WorkerRecord.fromPartial({
        standing: 'ready',
        said: {
          workerId: `w${position}`, service: 'm', address: `10.0.0.1:${position}`, zone: 'a', slots: 1, state: 'ready',
        },
      }))));
    this.request(Array.from({ length: engines }, (unused, position) => `placed${position}`));
    this.request(Array.from({ length: waiting }, (unused, position) => `waiting${position}`));
  }

  get counts() {
    return this.service.countRequests();
  }

  request(ids: readonly string[]): void {
    this.service.requestSlots(ids.map(makeRequest), this.stream);
  }

  report(phase: string, paceMs = 0): void {
    this.service.applyReports([makeReport('placed0', phase, paceMs)]);
  }

  /** Counts the waiting requests that a message causes to be looked at. */
  countLookups(send: () => void): number {
    this.lookups = 0;
    send();
    return this.lookups;
  }
}

// Guards against a leader that slows down with each request that waits: each message of an entry
// looked at all of them, so that slots were granted late in a burst, and more requests waited.
describe.each(CASES)('a message to a leader of $engines engines while $waiting requests wait', (size) => {
  it('should cause few of them to be looked at if it frees no slot', () => {
    const rig = new QueueRig(size);
    expect(rig.countLookups(() => rig.report('running', 9))).toBeLessThanOrEqual(MAX_LOOKUPS);
    expect(rig.counts).toEqual({ waiting: size.waiting, placed: size.engines });
  });

  it('should cause few of them to be looked at if it requests a slot', () => {
    const rig = new QueueRig(size);
    expect(rig.countLookups(() => rig.request(['new']))).toBeLessThanOrEqual(MAX_LOOKUPS);
    expect(rig.counts).toEqual({ waiting: size.waiting + 1, placed: size.engines });
  });

  it('should cause few of them to be looked at if it frees a slot', () => {
    const rig = new QueueRig(size);
    expect(rig.countLookups(() => rig.report('ended'))).toBeLessThanOrEqual(MAX_LOOKUPS);
    const granted = Math.min(1, size.waiting);
    expect(rig.counts).toEqual({
      waiting: size.waiting - granted, placed: size.engines - 1 + granted,
    });
  });
});
