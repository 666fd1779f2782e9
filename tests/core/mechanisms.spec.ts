import { describe, expect, it } from 'vitest';
import { MECHANISMS, makeMechanisms } from '../../src/core/routing/mechanisms';
import type { Mechanism } from '../../src/core/routing/mechanisms';
import { makePlacementTables } from '../../src/core/routing/makePlacementTables';
import { placeWaiting, requestSlots } from '../../src/core/routing/placement';
import { applyPlacementUpdate } from '../../src/core/routing/placementUpdates';
import type { PlacementTables, SlotRequest } from '../../src/core/routing/placementTables';
import { computeMaxWaitMs, estimateWaitMs } from '../../src/core/routing/placementWait';
import {
  applyRecords, makeRoutedWorkers, recordAnswer, recordPace, suspendWorker,
} from '../../src/core/routing/routedWorkers';
import { applyLoads } from '../../src/core/routing/workerLoads';
import type { RoutedWorker } from '../../src/core/routing/routedWorkers';
import { chooseRoutedWorker } from '../../src/core/routing/workerChoice';
import { WorkerLoad, WorkerRecord } from '../../src/protocol/generated/beechlift';
import { parseRelaySettings } from '../../platform/platformSettings';

const NOW = 1_000;

const makeRequest = (id: string, fields: Partial<SlotRequest> = {}): SlotRequest => ({
  id,
  entryId: 'e1',
  service: 'lm',
  rank: 0,
  promptTokens: 1_000,
  outputTokens: 100,
  targetMs: 1_000,
  deadlineAt: 15_000,
  zone: 'b',
  tried: [],
  askedAt: NOW,
  ...fields,
});

/** Makes two servers, of which the first is in another availability zone than the requests. */
const makeTables = (off: readonly Mechanism[], slots = 4): PlacementTables => {
  const workers = makeRoutedWorkers(makeMechanisms(off));
  applyRecords(workers, ['a', 'b'].map((zone) => WorkerRecord.fromPartial({
    said: {
      workerId: `w-${zone}`, service: 'lm', address: `10.0.0.1:${zone}`, zone, slots, state: 'ready', sequence: 1,
    },
    standing: 'ready',
  })), 0);
  return makePlacementTables(workers);
};

const findWorker = ({ workers }: PlacementTables, id: string): RoutedWorker => (
  workers.byId.get(id) as RoutedWorker);

const chooseId = (tables: PlacementTables, fields: Partial<SlotRequest> = {}): string => {
  const request = makeRequest('r', fields);
  return chooseRoutedWorker(tables.workers, {
    ...request, remainingMs: request.deadlineAt - NOW, requiresFreeSlot: false,
  }, NOW)?.worker.id ?? '';
};

const recordFailures = (tables: PlacementTables, id: string): void => {
  Array.from({ length: 10 }).forEach(() => {
    recordAnswer(tables.workers, findWorker(tables, id), {
      holdMs: 0, paceMs: 0, firstEvent: undefined, output: undefined, failed: true,
    });
    tables.workers.serviceStats.forEach((work) => {
      work.failureShare = 0;
    });
  });
};

/** Expected decisions with and without a mechanism, in a situation that it is meant for. */
interface Case {
  readonly decide: (tables: PlacementTables) => unknown;
  readonly slots?: number;
  readonly on: unknown;
  readonly off: unknown;
}

const cases: Readonly<Partial<Record<Mechanism, Case>>> = {
  zoneAffinity: { decide: (tables) => chooseId(tables), on: 'w-b', off: 'w-a' },
  failureWeight: {
    decide: (tables) => {
      recordFailures(tables, 'w-b');
      return chooseId(tables);
    },
    on: 'w-a',
    off: 'w-b',
  },
  overrunGuard: {
    decide: (tables) => {
      recordPace(findWorker(tables, 'w-a'), 10);
      recordPace(findWorker(tables, 'w-b'), 30);
      findWorker(tables, 'w-a').pendingTokens = 20_000;
      return chooseId(tables, { outputTokens: 1_000, deadlineAt: NOW + 8_000 });
    },
    on: 'w-a',
    off: 'w-b',
  },
  learntSpeeds: {
    decide: (tables) => {
      recordPace(findWorker(tables, 'w-a'), 10);
      recordPace(findWorker(tables, 'w-b'), 30);
      return chooseId(tables);
    },
    on: 'w-a',
    off: 'w-b',
  },
  sharedSlowness: {
    decide: (tables) => {
      applyLoads(tables.workers, [WorkerLoad.fromPartial({ workerId: 'w-b', slowness: 4_000, observers: 1 })]);
      return chooseId(tables);
    },
    on: 'w-a',
    off: 'w-b',
  },
  suspension: {
    decide: (tables) => {
      suspendWorker(findWorker(tables, 'w-b'), NOW);
      return chooseId(tables);
    },
    on: 'w-a',
    off: 'w-b',
  },
  higherRanks: {
    decide: (tables) => {
      const fresh = estimateWaitMs(tables, makeRequest('r', { rank: 2 }), NOW);
      requestSlots(tables, Array.from({ length: 6 }, (unused, count) => makeRequest(`r${count}`)), NOW);
      return estimateWaitMs(tables, makeRequest('r', { rank: 2 }), NOW) > fresh;
    },
    on: true,
    off: false,
  },
  patienceByRank: {
    decide: (tables) => computeMaxWaitMs(tables, makeRequest('r', { rank: 2 }))
      < computeMaxWaitMs(tables, makeRequest('r')),
    on: true,
    off: false,
  },
  shortestFirst: {
    decide: (tables) => {
      const lengths = [100, 100, 900, 10];
      requestSlots(tables, lengths.map((outputTokens, position) => (
        makeRequest(`r${position}`, { outputTokens }))), NOW);
      applyPlacementUpdate(tables, {
        id: 'r0', phase: 'dropped', paceMs: 0, firstEventMs: 0, outputMs: 0,
      }, NOW);
      return placeWaiting(tables, NOW).map(({ id }) => id);
    },
    slots: 1,
    on: ['r1'],
    off: ['r2'],
  },
  earlyRefusal: {
    decide: (tables) => requestSlots(
      tables,
      Array.from({ length: 30 }, (unused, count) => makeRequest(`r${count}`)),
      NOW,
    ).some(({ kind }) => kind === 'refuse'),
    slots: 1,
    on: true,
    off: false,
  },
};

/** Mechanisms of entries; `entry-mechanisms.spec.ts` has their cases. */
const AT_ENTRIES: readonly Mechanism[] = ['silence', 'leaderPlacing', 'resumption', 'leaseWait'];

describe('mechanisms that can be switched off', () => {
  it.each(Object.entries(cases))('should decide differently without %s, in a case that it is meant for', (name, one) => {
    expect(one.decide(makeTables([], one.slots))).toEqual(one.on);
    expect(one.decide(makeTables([name as Mechanism], one.slots))).toEqual(one.off);
  });

  it('should have a case for each mechanism', () => {
    expect([...Object.keys(cases), ...AT_ENTRIES].sort()).toEqual([...MECHANISMS].sort());
  });

  it('should all be on by default, and an unknown name should be rejected', () => {
    const settings = {
      name: 'n', zone: 'a', ip: '10.0.0.1', seeds: '10.0.0.2:1', internalPorts: '1,2', directoryAddress: 'x', callerAddress: 'x', readinessAddress: 'x', graceSeconds: 1, retryRatio: 0.2, retrySlack: 5, retryWindowSeconds: 10,
    };
    expect(parseRelaySettings(JSON.stringify(settings)).mechanismsOff).toEqual([]);
    const named = JSON.stringify({ ...settings, mechanismsOff: ['suspension'] });
    expect(parseRelaySettings(named).mechanismsOff).toEqual(['suspension']);
    expect(() => parseRelaySettings(JSON.stringify({ ...settings, mechanismsOff: ['x'] }))).toThrow(/mechanismsOff/u);
  });
});
