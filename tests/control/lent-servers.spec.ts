import {
  beforeEach, describe, expect, it,
} from 'vitest';
import { LentServers } from '../../src/control/lentServers';
import { applyRecords, makeRoutedWorkers } from '../../src/core/routing/routedWorkers';
import type { RoutedWorkers } from '../../src/core/routing/routedWorkers';
import { applyNamedRates } from '../../src/core/routing/workerRateLimit';
import {
  DelegateReport, WorkerLoad, WorkerRateLimit, WorkerRecord,
} from '../../src/protocol/generated/beechlift';

const SERVICE = 'm';
const SERVERS = 24;
const REPORT_MS = 250;

const makeWorkers = (): RoutedWorkers => {
  const workers = makeRoutedWorkers();
  const ids = Array.from({ length: SERVERS }, (unused, index) => `w${index}`);
  applyRecords(workers, ids.map((workerId) => WorkerRecord.fromPartial({
    said: {
      workerId, service: SERVICE, address: `${workerId}:80`, slots: 4, state: 'ready',
    },
    standing: 'ready',
  })), 0);
  return workers;
};

describe('servers that the leader lends', () => {
  let lent: LentServers;
  let workers: RoutedWorkers;
  let now = 0;

  const report = (replicaId: string, slots = 0, fields: Partial<DelegateReport> = {}): void => (
    lent.report(DelegateReport.fromPartial({
      replicaId, demands: [{ service: SERVICE, slots }], workerIds: lent.list(replicaId), ...fields,
    }), now));

  /** Lets replicas with the given demands report for some time. */
  const run = (ms: number, demands: Readonly<Record<string, number>>, isEven = false): void => (
    Array.from({ length: ms / REPORT_MS }).forEach(() => {
      now += REPORT_MS;
      Object.entries(demands).forEach(([id, slots]) => report(id, slots));
      lent.plan(workers, now, isEven);
    }));

  const count = (replicaId: string): number => lent.list(replicaId).length;

  beforeEach(() => {
    lent = new LentServers(-10_000);
    workers = makeWorkers();
    now = 0;
  });

  it('should go to the replicas by demand', () => {
    run(5_000, { r1: 10, r2: 30 });
    expect(count('r2')).toBeGreaterThan(2 * count('r1'));
    expect(count('r1') + count('r2')).toBeGreaterThanOrEqual(22);
  });

  it('should stay with the leader where no request comes to other replicas', () => {
    run(5_000, { r1: 0, r2: 0 });
    expect([count('r1'), count('r2')]).toEqual([0, 0]);
  });

  // In the first second of traffic every request was the leader's, as nothing had been lent yet.
  it('should be lent in even parts before the first request on a large site', () => {
    run(1_000, { r1: 0, r2: 0 }, true);
    expect(count('r1')).toBeGreaterThanOrEqual(11);
    expect(Math.abs(count('r1') - count('r2'))).toBeLessThanOrEqual(1);
  });

  // After a restart of all replicas the leader kept most servers for seconds, and delegates refused
  // requests meanwhile.
  it('should reach replicas within a second and a half of their first requests', () => {
    run(2_000, { r1: 0, r2: 0 });
    run(1_500, { r1: 40, r2: 40 });
    expect(count('r1') + count('r2')).toBeGreaterThanOrEqual(22);
  });

  it('should soon be enough for a replica that has just started beside a busy one', () => {
    run(5_000, { r1: 40 });
    run(1_500, { r1: 40, r2: 0 });
    run(1_500, { r1: 40, r2: 40 });
    expect(count('r2')).toBeGreaterThanOrEqual(8);
  });

  it('should return to the leader when their replica is gone', () => {
    run(5_000, { r1: 20, r2: 20 });
    run(6_000, { r1: 20 });
    expect(count('r2')).toBe(0);
    expect(count('r1')).toBeGreaterThanOrEqual(22);
  });

  // A new leader granted slots that other replicas granted as well.
  it('should stay with their replicas under a new leader', () => {
    run(5_000, { r1: 20, r2: 20 });
    const [first = [], second = []] = ['r1', 'r2'].map((id) => lent.list(id));
    lent = new LentServers(now);
    report('r1', 20, { workerIds: first });
    report('r2', 20, { workerIds: [...second, ...first] });
    expect([lent.list('r1'), lent.list('r2')]).toEqual([first, second]);
  });

  // A new leader divided the servers when it had heard from one replica, and the others got none.
  it('should stay with replicas from which a new leader hears late', () => {
    run(5_000, { r1: 20, r2: 20, r3: 20 });
    const ids = ['r1', 'r2', 'r3'];
    const before = ids.map((id) => lent.list(id));
    lent = new LentServers(now);
    report('r1', 20, { workerIds: before[0] ?? [] });
    lent.plan(workers, now);
    now += 1_200;
    ['r2', 'r3'].forEach((id, index) => report(id, 20, { workerIds: before[index + 1] ?? [] }));
    lent.plan(workers, now);
    expect(ids.map((id) => lent.list(id))).toEqual(before);
  });

  it('should stay lent while a leader without a lease takes no reports', () => {
    run(5_000, { r1: 20, r2: 20 });
    const before = lent.list('r1');
    now += 4_000;
    lent.plan(workers, now);
    expect(lent.list('r1')).toEqual(before);
  });

  it('should not be lent if one of their service has named a rate limit', () => {
    run(5_000, { r1: 20, r2: 20 });
    applyNamedRates(workers, [WorkerRateLimit.fromPartial({ workerId: 'w3', perSecond: 5 })], now);
    run(1_000, { r1: 20, r2: 20 });
    expect([count('r1'), count('r2')]).toEqual([0, 0]);
  });

  it('should count what replicas placed, for entries that choose and for the leader', () => {
    const load = WorkerLoad.fromPartial({ workerId: 'w1', placed: 3, placedTokens: 300 });
    report('r1', 20, { loads: [load] });
    const own = WorkerLoad.fromPartial({ workerId: 'w1', inFlight: 1, tokens: 10 });
    expect(lent.addOpen([own])).toMatchObject([{ inFlight: 4, tokens: 310 }]);
    expect(lent.addPlaced([{ ...own, placed: 2 }])).toMatchObject([{
      inFlight: 1, placed: 5, placedTokens: 300,
    }]);
    expect([load, own]).toMatchObject([{ placed: 3, inFlight: 0 }, { placed: 0, inFlight: 1 }]);
  });

  it('should be divided by numbers only', () => {
    run(1_000, { r1: NaN, r2: -5, r3: Infinity });
    expect([count('r1'), count('r2'), count('r3')]).toEqual([0, 0, 0]);
  });
});
