import { describe, expect, it } from 'vitest';
import { makePlacementTables } from '../../src/core/routing/makePlacementTables';
import { requestSlots } from '../../src/core/routing/placement';
import type { PlacementDecision } from '../../src/core/routing/placement';
import { applyPlacementUpdate } from '../../src/core/routing/placementUpdates';
import type { PlacementUpdate } from '../../src/core/routing/placementUpdates';
import type { PlacementTables } from '../../src/core/routing/placementTables';
import { applyRecords, makeRoutedWorkers } from '../../src/core/routing/routedWorkers';
import { WorkerRecord } from '../../src/protocol/generated/beechlift';

const SERVERS = ['0', '1'];

const makeTables = (): PlacementTables => {
  const workers = makeRoutedWorkers();
  applyRecords(workers, SERVERS.map((workerId) => WorkerRecord.fromPartial({
    said: {
      workerId, service: 'lm', address: `10.0.0.${workerId}:80`, zone: 'a', slots: 2, state: 'ready', sequence: 1,
    },
    standing: 'ready',
  })), 0);
  return makePlacementTables(workers);
};

const request = (tables: PlacementTables, id: string, entryId: string): PlacementDecision[] => (
  requestSlots(tables, [{
    id, entryId, service: 'lm', rank: 0, promptTokens: 100, outputTokens: 100, targetMs: 1_000, deadlineAt: 9_000, zone: 'a', tried: [], askedAt: 0,
  }], 0));

const report = (tables: PlacementTables, id: string, phase: PlacementUpdate['phase']): void => (
  applyPlacementUpdate(tables, {
    id, phase, paceMs: 0, firstEventMs: 0, outputMs: 0,
  }, 0));

describe('a request of an entry that reaches no server of its service', () => {
  const cutOff = (tables: PlacementTables): void => ['a', 'b'].forEach((id) => {
    request(tables, id, 'e1');
    report(tables, id, 'unreached');
  });

  // Its caller was told to wait as in a burst, while other entries served at once.
  it('should be refused at once with a short time if other entries reach one', () => {
    const tables = makeTables();
    request(tables, 'other', 'e2');
    report(tables, 'other', 'running');
    cutOff(tables);
    expect(request(tables, 'c', 'e1')).toMatchObject([
      { kind: 'refuse', code: 'backendsUnreachable', retryAfterMs: 250 },
    ]);
    expect(request(tables, 'd', 'e2')).toMatchObject([{ kind: 'grant' }]);
  });

  it('should be refused with the time of a restart if no entry reaches one', () => {
    const tables = makeTables();
    cutOff(tables);
    const [decision] = request(tables, 'c', 'e1');
    expect(decision).toMatchObject({ kind: 'refuse', code: 'backendsUnreachable' });
    expect(decision?.kind === 'refuse' && decision.retryAfterMs).toBeGreaterThanOrEqual(1_000);
  });

  it('should get a slot at a server that it reaches', () => {
    const tables = makeTables();
    request(tables, 'a', 'e1');
    report(tables, 'a', 'unreached');
    expect(request(tables, 'b', 'e1')).toMatchObject([{ kind: 'grant' }]);
  });
});
