import { describe, expect, it } from 'vitest';
import { makePlacementTables } from '../../src/core/routing/makePlacementTables';
import { placeWaiting, requestSlots } from '../../src/core/routing/placement';
import type { PlacementDecision } from '../../src/core/routing/placement';
import type { PlacementTables, SlotRequest } from '../../src/core/routing/placementTables';
import { applyPlacementUpdate, retainPlaced } from '../../src/core/routing/placementUpdates';
import type { PlacementUpdate } from '../../src/core/routing/placementUpdates';
import { MAX_CONTINUATION_WAIT_MS } from '../../src/core/routing/placementWait';
import { applyRecords, makeRoutedWorkers } from '../../src/core/routing/routedWorkers';
import { LEARNING_MS } from '../../src/core/routing/streamPlacement';
import { WorkerRecord } from '../../src/protocol/generated/beechlift';

const SERVICE = 'engines';
const TARGET_MS = 500;

const makeRecord = (workerId: string, software: string, standing = 'ready') => (
  WorkerRecord.fromPartial({
    said: {
      workerId, service: SERVICE, software, address: `10.0.0.${workerId}:80`, zone: 'a', slots: 1, state: 'ready', sequence: 1,
    },
    standing,
  }));

/** Servers of one slot each, named 0, 1 and so on. */
const makeTables = (...versions: readonly string[]): PlacementTables => {
  const workers = makeRoutedWorkers();
  applyRecords(workers, versions.map((software, position) => (
    makeRecord(String(position), software))), 0);
  return makePlacementTables(workers);
};

const makeRequest = (id: string, software?: string): SlotRequest => ({
  id,
  entryId: 'e1',
  service: SERVICE,
  rank: 0,
  promptTokens: 100,
  outputTokens: 100,
  targetMs: TARGET_MS,
  deadlineAt: 15_000,
  zone: 'a',
  tried: [],
  askedAt: 0,
  ...(software === undefined ? {} : { origin: { service: SERVICE, software } }),
});

const formatDecision = (decision: PlacementDecision): string => (
  `${decision.id} ${decision.kind === 'grant' ? decision.workerId : decision.code}`);

const request = (tables: PlacementTables, ...requests: readonly SlotRequest[]): string[] => (
  requestSlots(tables, requests, 0).map(formatDecision));

describe('a request that continues a stream', () => {
  it('should get a slot only at a server of the version that began it', () => {
    const tables = makeTables('v1', 'v2', 'v1', 'v2');
    expect(request(tables, makeRequest('a', 'v2'), makeRequest('b', 'v2'))).toEqual(['a 1', 'b 3']);
    expect(request(tables, makeRequest('c', 'v2'))).toEqual([]);
  });

  // Versions that differ only in case, and the missing one, are versions of their own.
  it.each(['V1', '', 'v1 '])('should not treat version "%s" as "v1"', (software) => {
    expect(request(makeTables('v1'), makeRequest('a', software))).toEqual(['a streamVersionGone']);
  });

  it('should get a slot at a server that announces no version if one began it', () => {
    expect(request(makeTables('v1', ''), makeRequest('a', ''))).toEqual(['a 1']);
  });

  // A version without a free slot must not keep other requests from free slots of the service.
  it('should not keep other requests from slots of other versions', () => {
    const tables = makeTables('v1', 'v2', 'v2');
    request(tables, makeRequest('a', 'v1'));
    expect(request(tables, makeRequest('b', 'v1'), makeRequest('c'), makeRequest('d', 'v2')))
      .toEqual(['c 1', 'd 2']);
  });

  // Its caller would lose what it has, so the wait is not bounded by the target latency.
  it('should wait for a slot of its version for longer than a new request', () => {
    const tables = makeTables('v1', 'v2');
    request(tables, makeRequest('a', 'v1'), makeRequest('b', 'v1'));
    expect(placeWaiting(tables, 3 * TARGET_MS)).toEqual([]);
    applyPlacementUpdate(tables, {
      id: 'a', phase: 'ended', paceMs: 0, firstEventMs: 0, outputMs: 0,
    }, 3 * TARGET_MS);
    expect(placeWaiting(tables, 3 * TARGET_MS).map(formatDecision)).toEqual(['b 0']);
  });

  it('should be refused at once when the last server of its version leaves', () => {
    const tables = makeTables('v1', 'v2');
    request(tables, makeRequest('a', 'v1'), makeRequest('b', 'v1'));
    applyRecords(tables.workers, [makeRecord('0', 'v1', 'draining')], 0);
    expect(placeWaiting(tables, 25).map(formatDecision)).toEqual(['b streamVersionGone']);
  });
});

describe('a request that takes up the stream of an attempt that got a slot', () => {
  /** A slot of version v1 is granted to the attempt that the request names. */
  const makeGranted = (...versions: readonly string[]): PlacementTables => {
    const tables = makeTables(...versions);
    request(tables, { ...makeRequest('begin'), requestId: '9c41' });
    return tables;
  };

  const takeUp: SlotRequest = { ...makeRequest('take'), resumedId: '9c41' };

  const update = (tables: PlacementTables, phase: PlacementUpdate['phase']): string[] => {
    applyPlacementUpdate(tables, {
      id: 'begin', phase, paceMs: 0, firstEventMs: 0, outputMs: 0,
    }, 1);
    return placeWaiting(tables, 1).map(formatDecision);
  };

  // Fault: a granted slot counted as the begin of the stream, though its entry may have used a
  // server of another version, so the text was joined of two versions.
  it('should wait until the begin of the stream is reported', () => {
    const tables = makeGranted('v1', 'v2', 'v1');
    expect(request(tables, takeUp)).toEqual([]);
    expect(update(tables, 'running')).toEqual(['take 2']);
  });

  it.each(['dropped', 'rejected', 'unreached', 'failed'] as const)('should be refused once the slot was released without it: %s', (phase) => {
    const tables = makeGranted('v1', 'v2', 'v1');
    request(tables, takeUp);
    expect(update(tables, phase)).toEqual(['take streamOriginUnknown']);
  });

  it('should be refused if nothing is reported in time', () => {
    const tables = makeGranted('v1', 'v2', 'v1');
    request(tables, takeUp);
    expect(placeWaiting(tables, MAX_CONTINUATION_WAIT_MS - 1)).toEqual([]);
    expect(placeWaiting(tables, MAX_CONTINUATION_WAIT_MS).map(formatDecision)).toEqual(['take streamOriginUnknown']);
  });

  it('should not wait while there is only one version', () => {
    expect(request(makeGranted('v1', 'v1'), takeUp)).toEqual(['take 1']);
  });

  // Fault: a new leader whose copy of the servers lacked a version took the service for one of one
  // version, before the servers of that version had announced themselves to it.
  it('should wait while a new leader may lack a version', () => {
    const { workers } = makeTables('v1');
    const tables = makePlacementTables(workers, undefined, { learnsUntil: LEARNING_MS });
    expect(request(tables, takeUp)).toEqual([]);
    expect(placeWaiting(tables, LEARNING_MS - 1)).toEqual([]);
    applyRecords(workers, [makeRecord('1', 'v2')], LEARNING_MS - 1);
    expect(placeWaiting(tables, LEARNING_MS).map(formatDecision)).toEqual(['take streamOriginUnknown']);
  });

  // Guards against refusals while there is one version.
  it('should go on once a new leader has learnt of no other version', () => {
    const { workers } = makeTables('v1');
    const tables = makePlacementTables(workers, undefined, { learnsUntil: LEARNING_MS });
    expect(request(tables, takeUp)).toEqual([]);
    expect(placeWaiting(tables, LEARNING_MS).map(formatDecision)).toEqual(['take 0']);
  });

  // Guards against waits for a report that can't come.
  it('should not wait for a new leader to learn if its caller names no attempt', () => {
    const { workers } = makeTables('v1');
    const tables = makePlacementTables(workers, undefined, { learnsUntil: LEARNING_MS });
    expect(request(tables, { ...takeUp, resumedId: '' })).toEqual(['take 0']);
  });

  // Fault: a leader that others had replaced, and that had not heard of it, took a service for one
  // of one version, while servers of another announced themselves to the next leader.
  it('should wait while another leader may know other versions', () => {
    let holdsLease = false;
    const { workers } = makeTables('v1');
    const tables = makePlacementTables(workers, undefined, { holdsLease: () => holdsLease });
    expect(request(tables, takeUp, { ...takeUp, id: 'unnamed', resumedId: '' })).toEqual([]);
    expect(placeWaiting(tables, MAX_CONTINUATION_WAIT_MS - 1)).toEqual([]);
    expect(placeWaiting(tables, MAX_CONTINUATION_WAIT_MS).map(formatDecision))
      .toEqual(['take streamOriginUnknown', 'unnamed streamOriginUnknown']);
    holdsLease = true;
    expect(request(tables, takeUp)).toEqual(['take 0']);
  });

  it('should leave nothing behind', () => {
    const tables = makeGranted('v1', 'v2');
    expect(tables.grantedStreams.size).toBe(1);
    retainPlaced(tables, 'e1', new Set());
    expect(tables.grantedStreams.size).toBe(0);
  });
});
