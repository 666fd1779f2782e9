import { describe, expect, it } from 'vitest';
import type { RestrictionFinder, RestrictionKind } from '../../src/core/quarantine/placementRestriction';
import {
  requestSlots, expirePlaced, makePlacementTables, applyPlacementUpdate, placeWaiting,
} from '../../src/core/routing/placement';
import type { PlacementDecision, PlacementUpdate } from '../../src/core/routing/placement';
import { estimateWaitMs } from '../../src/core/routing/placementWait';
import type { SlotRequest, PlacementTables } from '../../src/core/routing/placementTables';
import { applyRecords, recordPace, makeRoutedWorkers } from '../../src/core/routing/routedWorkers';
import { WorkerRecord } from '../../src/protocol/generated/beechlift';

const makeRecord = (workerId: string, slots: number, standing = 'ready'): WorkerRecord => WorkerRecord.fromPartial({
  said: {
    workerId, service: 'lm', address: `10.0.0.${workerId}:80`, zone: 'a', slots, state: 'ready', sequence: 1,
  },
  standing,
});

const makeTables = (slots: readonly number[], findCaution?: RestrictionFinder): PlacementTables => {
  const workers = makeRoutedWorkers();
  applyRecords(workers, slots.map((count, position) => makeRecord(String(position), count)));
  return makePlacementTables(workers, findCaution);
};

/** Tells of requests what stands before the colon of their fingerprint. */
const readKind: RestrictionFinder = (fingerprint) => ({
  kind: fingerprint.split(':')[0] as RestrictionKind, refusedMs: 60_000,
});

const ask = (fields: Partial<SlotRequest> & { id: string }): SlotRequest => ({
  entryId: 'e1',
  service: 'lm',
  rank: 0,
  promptTokens: 1_000,
  outputTokens: 100,
  targetMs: 1_000,
  deadlineAt: 15_000,
  zone: 'a',
  tried: [],
  askedAt: 0,
  ...fields,
});

const askPlace = (tables: PlacementTables, one: SlotRequest, now: number): PlacementDecision[] => (
  requestSlots(tables, [one], now)
);

const makeNews = (id: string, phase: PlacementUpdate['phase'] = 'ended'): PlacementUpdate => (
  {
    id, phase, paceMs: 0, firstEventMs: 150, outputMs: 500,
  });

const listGranted = (decisions: readonly PlacementDecision[]): string[] => decisions
  .filter(({ kind }) => kind === 'grant').map(({ id }) => id);

const countHeld = (tables: PlacementTables, id: string): number => (
  [...tables.placed.values()].filter(({ worker }) => worker.id === id).length
);

describe('placing requests on model engines', () => {
  it('should never give a slot twice, and fill all that there are', () => {
    const tables = makeTables([6, 6, 2]);
    Array.from({ length: 40 }, (unused, count) => askPlace(tables, ask({ id: `r${count}` }), count));
    expect(['0', '1', '2'].map((id) => countHeld(tables, id))).toEqual([6, 6, 2]);
  });

  /*
   * After a restart of all, an entry asks for twenty held requests in one call. Counted against
   * each other at once, each would find nineteen before it, and the whole batch would be refused.
   */
  it('should refuse of a batch only what would wait too long, the last first', () => {
    const tables = makeTables([4]);
    const batch = Array.from({ length: 12 }, (unused, count) => (
      ask({ id: `r${count}`, rank: count < 8 ? 0 : 2, targetMs: 1_000 })));
    const decisions = requestSlots(tables, batch, 0);
    expect(listGranted(decisions)).toEqual(['r0', 'r1', 'r2', 'r3']);
    expect(tables.waiting.has('r4')).toBe(true);
    const refused = decisions.filter(({ kind }) => kind === 'refuse').map(({ id }) => id);
    expect(refused.slice(0, 4)).toEqual(['r11', 'r10', 'r9', 'r8']);
  });

  // A burst fills all engines with questions of the lowest rank; the digests that come behind them
  // are worth fifteen times as much and must get the next slots.
  it('should give the next slots to the highest rank that waits, then to who waits longest', () => {
    const tables = makeTables([2]);
    const waiting = [['low', 2], ['lower', 2], ['mid', 1], ['top', 0], ['top2', 0]] as const;
    ['a', 'b'].forEach((id) => askPlace(tables, ask({ id, rank: 2 }), 0));
    waiting.forEach(([id, rank], position) => {
      tables.waiting.set(id, ask({ id, rank, askedAt: position }));
    });
    applyPlacementUpdate(tables, makeNews('a'), 10);
    applyPlacementUpdate(tables, makeNews('b'), 10);
    expect(listGranted(placeWaiting(tables, 10))).toEqual(['top', 'top2']);
  });

  it('should refuse at once what would wait too long, with a time to come back', () => {
    const tables = makeTables([1]);
    const decisions = Array.from({ length: 6 }, (unused, count) => (
      askPlace(tables, ask({ id: `r${count}`, rank: 2, targetMs: 500 }), 0))).flat();
    const refused = decisions.filter(({ kind }) => kind === 'refuse');
    expect(refused.length).toBeGreaterThan(3);
    expect(refused.every((item) => item.kind === 'refuse' && item.retryAfterMs >= 250)).toBe(true);
    expect(tables.waiting.size + tables.placed.size + refused.length).toBe(6);
  });

  it('should refuse what has waited for its share of the target', () => {
    const tables = makeTables([1]);
    askPlace(tables, ask({ id: 'a' }), 0);
    tables.waiting.set('b', ask({ id: 'b', askedAt: 0 }));
    expect(placeWaiting(tables, 100)).toEqual([]);
    expect(placeWaiting(tables, 900).map(({ kind, id }) => [kind, id])).toEqual([['refuse', 'b']]);
  });

  // An answer of 800 tokens lasts longer on an engine four times slower than the caller waits: it
  // was cut off by its deadline after all the work.
  it('should keep long answers from engines that cannot finish them', () => {
    const tables = makeTables([6, 6]);
    Array.from({ length: 20 }).forEach(() => {
      recordPace(tables.workers.byId.get('0') as never, 40);
      recordPace(tables.workers.byId.get('1') as never, 10);
    });
    askPlace(tables, ask({ id: 'long', outputTokens: 1_700 }), 0);
    expect(tables.placed.get('long')?.worker.id).toBe('1');
  });

  it('should leave a server that does not answer alone for a while', () => {
    const tables = makeTables([6, 6]);
    askPlace(tables, ask({ id: 'a' }), 0);
    const first = tables.placed.get('a')?.worker.id;
    applyPlacementUpdate(tables, makeNews('a', 'unreached'), 10);
    askPlace(tables, ask({ id: 'b' }), 20);
    expect(tables.placed.get('b')?.worker.id).not.toBe(first);
  });

  /*
   * An engine had asked one entry for rest. Its slots went to that entry's requests all the same,
   * and each place was given back while requests of other entries waited.
   */
  it('should give slots that an entry avoids to the requests of others, in their order', () => {
    const tables = makeTables([1, 1]);
    askPlace(tables, ask({ id: 'busy', avoidedIds: ['0'] }), 0);
    const decisions = requestSlots(tables, [
      ask({ id: 'a', avoidedIds: ['0'], targetMs: 5_000 }),
      ask({ id: 'b', entryId: 'e2', targetMs: 5_000 }),
      ask({ id: 'c', entryId: 'e2', targetMs: 5_000 }),
    ], 1);
    expect(tables.placed.get('busy')?.worker.id).toBe('1');
    expect(listGranted(decisions)).toEqual(['b']);
    applyPlacementUpdate(tables, makeNews('busy'), 10);
    expect(listGranted(placeWaiting(tables, 10))).toEqual(['a']);
  });

  it('should estimate a wait by the slots that the entry of the request may have', () => {
    const tables = makeTables([6, 6]);
    const [all = 0, half] = [[], ['0']]
      .map((avoidedIds) => estimateWaitMs(tables, ask({ id: 'a', avoidedIds }), 0));
    expect(half).toBe(2 * all);
  });

  it('should send nothing to a server that leaves', () => {
    const tables = makeTables([6]);
    applyRecords(tables.workers, [makeRecord('0', 6, 'draining')]);
    askPlace(tables, ask({ id: 'a' }), 0);
    expect(tables.placed.size).toBe(0);
  });

  // An entry dies with twelve streams: its engines stop work on them at once, and the slots must
  // not stay taken until the streams' deadlines.
  it('should free the slots of an entry that has gone, and what is past its deadline', () => {
    const tables = makeTables([4]);
    askPlace(tables, ask({ id: 'a', entryId: 'dead' }), 0);
    askPlace(tables, ask({ id: 'b', entryId: 'dead' }), 0);
    askPlace(tables, ask({ id: 'c', deadlineAt: 500 }), 0);
    askPlace(tables, ask({ id: 'd' }), 0);
    expirePlaced(tables, (entryId) => entryId !== 'dead', 1_000);
    expect([...tables.placed.keys()]).toEqual(['d']);
    expect(tables.workers.byId.get('0')?.inFlight).toBe(1);
    expect(tables.workers.byId.get('0')?.pendingTokens).toBe(1_000);
  });

  it('should count prompt tokens as pending until the first event', () => {
    const tables = makeTables([4]);
    askPlace(tables, ask({ id: 'a', promptTokens: 5_000 }), 0);
    applyPlacementUpdate(tables, makeNews('a', 'running'), 10);
    applyPlacementUpdate(tables, makeNews('a', 'running'), 20);
    expect(tables.workers.byId.get('0')?.pendingTokens).toBe(0);
    applyPlacementUpdate(tables, makeNews('a'), 30);
    expect(tables.workers.byId.get('0')?.pendingTokens).toBe(0);
  });

  /**
   * The load of the heaviest days: arrivals of three ranks at 1.6 times what the engines bear.
   * Those of the highest rank, the dearest, must all begin within their target.
   */
  it('should serve the highest rank on time when there is too much work', () => {
    const tables = makeTables([6, 6, 6]);
    const lasts = 700;
    const ends = new Map<string, number>();
    const began = new Map<string, number>();
    const note = (decisions: readonly PlacementDecision[], now: number): void => decisions
      .filter(({ kind }) => kind === 'grant')
      .forEach(({ id }) => {
        ends.set(id, now + lasts);
        began.set(id, now);
      });
    const asked: SlotRequest[] = [];
    Array.from({ length: 2_000 }, (unused, step) => step * 5).forEach((now) => {
      [...ends].filter(([, at]) => at <= now).forEach(([id]) => {
        ends.delete(id);
        applyPlacementUpdate(tables, makeNews(id), now);
      });
      note(placeWaiting(tables, now), now);
      if (now % 25 !== 0) return;
      const request = ask({
        id: `r${now}`, rank: (now / 25) % 3, askedAt: now, targetMs: 1_000, deadlineAt: now + 15_000,
      });
      asked.push(request);
      note(askPlace(tables, request, now), now);
    });
    const top = asked.filter(({ rank }) => rank === 0);
    const onTime = top.filter(({ id, askedAt }) => (began.get(id) ?? Infinity) - askedAt < 800);
    expect(onTime.length / top.length).toBeGreaterThan(0.98);
    const served = asked.filter(({ id }) => began.has(id)).length;
    expect(served).toBeGreaterThan((10_000 / lasts) * 18 * 0.9);
  });

  // Guards against copies of a request that ends servers which run before the first is known.
  it('should place one copy of a suspect at a time, and no two suspects on one engine', () => {
    const tables = makeTables([6, 6], readKind);
    const copies = ['a1', 'a2', 'b1', 'c1'].map((id) => (
      ask({ id, fingerprint: `alone:${id.charAt(0)}`, targetMs: 5_000 })));
    expect(listGranted(requestSlots(tables, copies, 0))).toEqual(['a1', 'b1']);
    expect(['0', '1'].map((id) => countHeld(tables, id))).toEqual([1, 1]);
    applyPlacementUpdate(tables, makeNews('a1'), 10);
    expect(listGranted(placeWaiting(tables, 10))).toEqual(['a2']);
  });

  it('should keep slots for others while a suspect waits', () => {
    const tables = makeTables([6], readKind);
    const decisions = requestSlots(tables, [
      ask({ id: 'held', fingerprint: 'held:a', targetMs: 5_000 }),
      ask({ id: 'other', fingerprint: 'none:b' }),
      ask({ id: 'plain' }),
    ], 0);
    expect(listGranted(decisions)).toEqual(['other', 'plain']);
    expect(tables.waiting.has('held')).toBe(true);
  });

  it('should refuse what is quarantined at once, by its own code and with its time', () => {
    const tables = makeTables([6], readKind);
    expect(requestSlots(tables, [ask({ id: 'a', fingerprint: 'refused:a' })], 0)).toMatchObject([
      { kind: 'refuse', code: 'requestQuarantined', retryAfterMs: 60_000 },
    ]);
    expect(tables.waiting.size).toBe(0);
  });
});
