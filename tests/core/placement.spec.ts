import { describe, expect, it } from 'vitest';
import type {
  RestrictionFinder, RestrictionKind,
} from '../../src/core/quarantine/placementRestriction';
import { makePlacementTables } from '../../src/core/routing/makePlacementTables';
import { placeWaiting, requestSlots } from '../../src/core/routing/placement';
import { applyPlacementUpdate, expirePlaced } from '../../src/core/routing/placementUpdates';
import type { PlacementDecision } from '../../src/core/routing/placement';
import type { PlacementUpdate } from '../../src/core/routing/placementUpdates';
import { estimateWaitMs } from '../../src/core/routing/placementWait';
import type { PlacementTables, SlotRequest } from '../../src/core/routing/placementTables';
import { applyRecords, makeRoutedWorkers, recordPace } from '../../src/core/routing/routedWorkers';
import { applyNamedRates } from '../../src/core/routing/workerRateLimit';
import { WorkerRecord } from '../../src/protocol/generated/beechlift';

const makeRecord = (workerId: string, slots: number, standing = 'ready'): WorkerRecord => WorkerRecord.fromPartial({
  said: {
    workerId, service: 'lm', address: `10.0.0.${workerId}:80`, zone: 'a', slots, state: 'ready', sequence: 1,
  },
  standing,
});

const makeTables = (
  slots: readonly number[],
  findRestriction?: RestrictionFinder,
): PlacementTables => {
  const workers = makeRoutedWorkers();
  applyRecords(workers, slots.map((count, position) => makeRecord(String(position), count)), 0);
  return makePlacementTables(workers, findRestriction);
};

/** Finds the kind of restriction in the fingerprint, before the colon. */
const findTestRestriction: RestrictionFinder = (fingerprint) => ({
  kind: fingerprint.split(':')[0] as RestrictionKind, refusedMs: 60_000,
});

const makeRequest = (fields: Partial<SlotRequest> & { id: string }): SlotRequest => ({
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

const requestSlot = (
  tables: PlacementTables,
  request: SlotRequest,
  now: number,
): PlacementDecision[] => (
  requestSlots(tables, [request], now)
);

const makeUpdate = (id: string, phase: PlacementUpdate['phase'] = 'ended'): PlacementUpdate => (
  {
    id, phase, paceMs: 0, firstEventMs: 150, outputMs: 500,
  });

const listGranted = (decisions: readonly PlacementDecision[]): string[] => decisions
  .filter(({ kind }) => kind === 'grant').map(({ id }) => id);

const countPlaced = (tables: PlacementTables, id: string): number => (
  [...tables.placed.values()].filter(({ worker }) => worker.id === id).length
);

/** Applies a rate limit to all engines. */
const setAllLimits = (tables: PlacementTables, perSecond: number): void => applyNamedRates(
  tables.workers,
  [...tables.workers.byId.values()].map(({ id, born }) => (
    {
      workerId: id, born, perSecond, ageMs: 0,
    })),
  0,
);

/** Lets time pass in steps of 25 ms; returns the decisions. */
const advance = (tables: PlacementTables, from: number, to: number): PlacementDecision[] => (
  Array.from({ length: (to - from) / 25 }, (unused, step) => (
    placeWaiting(tables, from + 25 * (step + 1)))).flat());

describe('placement under rate limits of engines', () => {
  // Free slots were granted although the engine had named fewer requests per second.
  it('should grant no more than the limit, to higher ranks first', () => {
    const tables = makeTables([20]);
    setAllLimits(tables, 2);
    const requests = Array.from({ length: 8 }, (unused, count) => (
      makeRequest({ id: `r${count}`, rank: count < 4 ? 2 : 0, targetMs: 4_000 })));
    const decisions = [...requestSlots(tables, requests, 0), ...advance(tables, 0, 2_000)];
    expect(listGranted(decisions)).toEqual(['r4', 'r5', 'r6', 'r7']);
  });

  // With free slots and a used-up limit, requests waited in vain instead of being refused at once.
  it('should refuse at once what would wait too long for the limit, with a time to retry', () => {
    const tables = makeTables([20]);
    setAllLimits(tables, 2);
    const requests = Array.from({ length: 12 }, (unused, count) => (
      makeRequest({ id: `r${count}`, targetMs: 2_000 })));
    const refused = requestSlots(tables, requests, 0).filter(({ kind }) => kind === 'refuse');
    expect(refused.length).toBeGreaterThanOrEqual(8);
    expect(refused.every((decision) => 'retryAfterMs' in decision && decision.retryAfterMs >= 2_000)).toBe(true);
  });

  it('should prefer engines without a limit', () => {
    const tables = makeTables([20, 20]);
    applyNamedRates(tables.workers, [{
      workerId: '0', born: 0, perSecond: 1, ageMs: 0,
    }], 0);
    Array.from({ length: 16 }, (unused, count) => requestSlot(
      tables,
      makeRequest({ id: `r${count}` }),
      100 * count,
    ));
    expect(countPlaced(tables, '0')).toBeLessThanOrEqual(2);
    expect(countPlaced(tables, '0') + countPlaced(tables, '1')).toBe(16);
  });
});

describe('placement of requests on model engines', () => {
  it('should never grant a slot twice, and fill all slots', () => {
    const tables = makeTables([6, 6, 2]);
    Array.from({ length: 40 }, (unused, count) => requestSlot(
      tables,
      makeRequest({ id: `r${count}` }),
      count,
    ));
    expect(['0', '1', '2'].map((id) => countPlaced(tables, id))).toEqual([6, 6, 2]);
  });

  /*
   * After a restart of all processes, an entry requests slots for twenty requests in one call. If
   * each counted all others as ahead of it, the whole batch would be refused.
   */
  it('should refuse only the requests of a batch that would wait too long, last first', () => {
    const tables = makeTables([4]);
    const batch = Array.from({ length: 12 }, (unused, count) => (
      makeRequest({ id: `r${count}`, rank: count < 8 ? 0 : 2, targetMs: 1_000 })));
    const decisions = requestSlots(tables, batch, 0);
    expect(listGranted(decisions)).toEqual(['r0', 'r1', 'r2', 'r3']);
    expect(tables.waiting.has('r4')).toBe(true);
    const refused = decisions.filter(({ kind }) => kind === 'refuse').map(({ id }) => id);
    expect(refused.slice(0, 4)).toEqual(['r11', 'r10', 'r9', 'r8']);
  });

  // A burst fills all engines with requests of the lowest rank. The far more valuable requests that
  // arrive after them must get the next slots.
  it('should grant the next slots to the highest waiting rank, then to the longest wait', () => {
    const tables = makeTables([2]);
    const waiting = [['low', 2], ['lower', 2], ['mid', 1], ['top', 0], ['top2', 0]] as const;
    ['a', 'b'].forEach((id) => requestSlot(tables, makeRequest({ id, rank: 2 }), 0));
    waiting.forEach(([id, rank], position) => {
      tables.waiting.set(id, makeRequest({ id, rank, askedAt: position }));
    });
    applyPlacementUpdate(tables, makeUpdate('a'), 10);
    applyPlacementUpdate(tables, makeUpdate('b'), 10);
    expect(listGranted(placeWaiting(tables, 10))).toEqual(['top', 'top2']);
  });

  it('should refuse at once a request that would wait too long, with a retry time', () => {
    const tables = makeTables([1]);
    const decisions = Array.from({ length: 6 }, (unused, count) => (
      requestSlot(tables, makeRequest({ id: `r${count}`, rank: 2, targetMs: 500 }), 0))).flat();
    const refused = decisions.filter(({ kind }) => kind === 'refuse');
    expect(refused.length).toBeGreaterThan(3);
    expect(refused.every((item) => item.kind === 'refuse' && item.retryAfterMs >= 250)).toBe(true);
    expect(tables.waiting.size + tables.placed.size + refused.length).toBe(6);
  });

  it('should refuse a request that has waited for its share of the target', () => {
    const tables = makeTables([1]);
    requestSlot(tables, makeRequest({ id: 'a' }), 0);
    tables.waiting.set('b', makeRequest({ id: 'b', askedAt: 0 }));
    expect(placeWaiting(tables, 100)).toEqual([]);
    expect(placeWaiting(tables, 900).map(({ kind, id }) => [kind, id])).toEqual([['refuse', 'b']]);
  });

  // On an engine that is four times slower, a long answer takes longer than its deadline allows and
  // is cut off after all the work.
  it('should not place long answers on engines that cannot finish them', () => {
    const tables = makeTables([6, 6]);
    Array.from({ length: 20 }).forEach(() => {
      recordPace(tables.workers.byId.get('0') as never, 40);
      recordPace(tables.workers.byId.get('1') as never, 10);
    });
    requestSlot(tables, makeRequest({ id: 'long', outputTokens: 1_700 }), 0);
    expect(tables.placed.get('long')?.worker.id).toBe('1');
  });

  it('should avoid a server that does not answer for a while', () => {
    const tables = makeTables([6, 6]);
    requestSlot(tables, makeRequest({ id: 'a' }), 0);
    const first = tables.placed.get('a')?.worker.id;
    applyPlacementUpdate(tables, makeUpdate('a', 'unreached'), 10);
    requestSlot(tables, makeRequest({ id: 'b' }), 20);
    expect(tables.placed.get('b')?.worker.id).not.toBe(first);
  });

  // Fault: the leader took a server away from all entries on the report of one that was cut off.
  it('should avoid a server for all entries only once two have not reached it', () => {
    const tables = makeTables([9]);
    const requestOf = (entryId: string, now: number): string => {
      const id = `${entryId} at ${now}`;
      requestSlots(tables, [makeRequest({ id, entryId, targetMs: 5_000 })], now);
      const isPlaced = tables.placed.has(id);
      tables.waiting.remove(id);
      return isPlaced ? 'placed' : 'waits';
    };
    expect(requestOf('e1', 0)).toBe('placed');
    applyPlacementUpdate(tables, makeUpdate('e1 at 0', 'unreached'), 10);
    expect([requestOf('e1', 20), requestOf('e2', 20)]).toEqual(['waits', 'placed']);
    applyPlacementUpdate(tables, makeUpdate('e2 at 20', 'running'), 30);
    expect(requestOf('e1', 400)).toBe('placed');
    applyPlacementUpdate(tables, makeUpdate('e1 at 400', 'unreached'), 410);
    expect([requestOf('e1', 900), requestOf('e2', 900), requestOf('e3', 900)]).toEqual(['waits', 'placed', 'placed']);
    applyPlacementUpdate(tables, makeUpdate('e2 at 900', 'unreached'), 910);
    expect(requestOf('e3', 920)).toBe('waits');
    applyPlacementUpdate(tables, makeUpdate('e3 at 900', 'running'), 930);
    expect(requestOf('e3', 940)).toBe('placed');
  });

  /*
   * An engine requests backoff from one entry. If its slots are still granted to that entry, each
   * grant is returned unused while requests of other entries wait.
   */
  it('should grant slots that one entry avoids to requests of other entries, in order', () => {
    const tables = makeTables([1, 1]);
    requestSlot(tables, makeRequest({ id: 'busy', avoidedIds: ['0'] }), 0);
    const decisions = requestSlots(tables, [
      makeRequest({ id: 'a', avoidedIds: ['0'], targetMs: 5_000 }),
      makeRequest({ id: 'b', entryId: 'e2', targetMs: 5_000 }),
      makeRequest({ id: 'c', entryId: 'e2', targetMs: 5_000 }),
    ], 1);
    expect(tables.placed.get('busy')?.worker.id).toBe('1');
    expect(listGranted(decisions)).toEqual(['b']);
    applyPlacementUpdate(tables, makeUpdate('busy'), 10);
    expect(listGranted(placeWaiting(tables, 10))).toEqual(['a']);
  });

  it('should estimate a wait from the slots that the entry of the request may use', () => {
    const tables = makeTables([6, 6]);
    const [all = 0, half] = [[], ['0']]
      .map((avoidedIds) => estimateWaitMs(tables, makeRequest({ id: 'a', avoidedIds }), 0));
    expect(half).toBe(2 * all);
  });

  it('should send nothing to a server that is leaving', () => {
    const tables = makeTables([6]);
    applyRecords(tables.workers, [makeRecord('0', 6, 'draining')], 0);
    requestSlot(tables, makeRequest({ id: 'a' }), 0);
    expect(tables.placed.size).toBe(0);
  });

  // When an entry crashes, the engines stop its streams at once. The slots must not stay taken
  // until the streams' deadlines.
  it('should release the slots of an entry that is gone, and of requests past their deadline', () => {
    const tables = makeTables([4]);
    requestSlot(tables, makeRequest({ id: 'a', entryId: 'dead' }), 0);
    requestSlot(tables, makeRequest({ id: 'b', entryId: 'dead' }), 0);
    requestSlot(tables, makeRequest({ id: 'c', deadlineAt: 500 }), 0);
    requestSlot(tables, makeRequest({ id: 'd' }), 0);
    expirePlaced(tables, (entryId) => entryId !== 'dead', 1_000);
    expect([...tables.placed.keys()]).toEqual(['d']);
    expect(tables.workers.byId.get('0')?.inFlight).toBe(1);
    expect(tables.workers.byId.get('0')?.pendingTokens).toBe(1_000);
  });

  it('should count prompt tokens as pending until the first event', () => {
    const tables = makeTables([4]);
    requestSlot(tables, makeRequest({ id: 'a', promptTokens: 5_000 }), 0);
    applyPlacementUpdate(tables, makeUpdate('a', 'running'), 10);
    applyPlacementUpdate(tables, makeUpdate('a', 'running'), 20);
    expect(tables.workers.byId.get('0')?.pendingTokens).toBe(0);
    applyPlacementUpdate(tables, makeUpdate('a'), 30);
    expect(tables.workers.byId.get('0')?.pendingTokens).toBe(0);
  });

  // Requests of three ranks arrive at 1.6 times the capacity of the engines. Those of the highest
  // rank must all start within their target.
  it('should serve the highest rank on time under overload', () => {
    const tables = makeTables([6, 6, 6]);
    const durationMs = 700;
    const endsAt = new Map<string, number>();
    const startedAt = new Map<string, number>();
    const recordGrants = (decisions: readonly PlacementDecision[], now: number): void => decisions
      .filter(({ kind }) => kind === 'grant')
      .forEach(({ id }) => {
        endsAt.set(id, now + durationMs);
        startedAt.set(id, now);
      });
    const sentRequests: SlotRequest[] = [];
    Array.from({ length: 2_000 }, (unused, step) => step * 5).forEach((now) => {
      [...endsAt].filter(([, at]) => at <= now).forEach(([id]) => {
        endsAt.delete(id);
        applyPlacementUpdate(tables, makeUpdate(id), now);
      });
      recordGrants(placeWaiting(tables, now), now);
      if (now % 25 !== 0) return;
      const request = makeRequest({
        id: `r${now}`, rank: (now / 25) % 3, askedAt: now, targetMs: 1_000, deadlineAt: now + 15_000,
      });
      sentRequests.push(request);
      recordGrants(requestSlot(tables, request, now), now);
    });
    const topRequests = sentRequests.filter(({ rank }) => rank === 0);
    const onTime = topRequests
      .filter(({ id, askedAt }) => (startedAt.get(id) ?? Infinity) - askedAt < 800);
    expect(onTime.length / topRequests.length).toBeGreaterThan(0.98);
    const servedCount = sentRequests.filter(({ id }) => startedAt.has(id)).length;
    expect(servedCount).toBeGreaterThan((10_000 / durationMs) * 18 * 0.9);
  });

  // Copies of a request that crashes servers must not run before the outcome of the first is known.
  it('should place one copy of a suspect at a time, and no two suspects on one engine', () => {
    const tables = makeTables([6, 6], findTestRestriction);
    const copies = ['a1', 'a2', 'b1', 'c1'].map((id) => (
      makeRequest({ id, fingerprint: `alone:${id.charAt(0)}`, targetMs: 5_000 })));
    expect(listGranted(requestSlots(tables, copies, 0))).toEqual(['a1', 'b1']);
    expect(['0', '1'].map((id) => countPlaced(tables, id))).toEqual([1, 1]);
    applyPlacementUpdate(tables, makeUpdate('a1'), 10);
    expect(listGranted(placeWaiting(tables, 10))).toEqual(['a2']);
  });

  it('should leave slots to other requests while a suspect waits', () => {
    const tables = makeTables([6], findTestRestriction);
    const decisions = requestSlots(tables, [
      makeRequest({ id: 'held', fingerprint: 'held:a', targetMs: 5_000 }),
      makeRequest({ id: 'other', fingerprint: 'none:b' }),
      makeRequest({ id: 'plain' }),
    ], 0);
    expect(listGranted(decisions)).toEqual(['other', 'plain']);
    expect(tables.waiting.has('held')).toBe(true);
  });

  it('should refuse a quarantined request at once, with its own code and retry time', () => {
    const tables = makeTables([6], findTestRestriction);
    expect(requestSlots(tables, [makeRequest({ id: 'a', fingerprint: 'refused:a' })], 0)).toMatchObject([
      { kind: 'refuse', code: 'requestQuarantined', retryAfterMs: 60_000 },
    ]);
    expect(tables.waiting.size).toBe(0);
  });
});
