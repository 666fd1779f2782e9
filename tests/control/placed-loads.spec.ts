import { describe, expect, it } from 'vitest';
import { LeaderState } from '../../src/control/leaderState';
import { applyRecords, makeRoutedWorkers } from '../../src/core/routing/routedWorkers';
import type { RoutedWorkers } from '../../src/core/routing/routedWorkers';
import { chooseRoutedWorker } from '../../src/core/routing/workerChoice';
import { applyLoads, listLoads } from '../../src/core/routing/workerLoads';
import { applyAnnouncement, makeWorkerTable } from '../../src/core/routing/workerTable';
import {
  LoadList, PlaceNews, WatchRequest, WorkerAnnouncement, WorkerRecord,
} from '../../src/protocol/generated/beechlift';

const SLOTS = 2;
/** Time between two watch requests. */
const STEP_MS = 400;

const announcements = ['w1', 'w2', 'w3'].map((workerId) => WorkerAnnouncement.fromPartial({
  workerId, service: 'm', address: `${workerId}:80`, zone: 'a', slots: SLOTS, state: 'ready', sequence: 1,
}));

/** A leader with three engines, and the copy that entries have of these. */
class LoadRig {
  private now = 0;

  private readonly leaderState = new LeaderState({
    clock: { now: () => this.now }, leaseMs: 2_300, limitSlack: 1_000,
  });

  private readonly table = makeWorkerTable('t');

  constructor() {
    announcements.forEach((said) => applyAnnouncement(this.table, said, this.now));
  }

  /** Lets the leader place requests of an entry. */
  place(entryId: string, count: number): void {
    const stream = this.leaderState.openStream({ send: () => undefined, end: () => undefined });
    const placeIds = Array.from({ length: count }, (unused, position) => `${entryId}-${position}`);
    this.leaderState.handleMessage(stream, PlaceNews.fromPartial({
      number: 1,
      entryId,
      requests: placeIds.map((placeId) => ({
        placeId, entryId, service: 'm', promptTokens: 100, targetMs: 30_000, remainingMs: 30_000,
      })),
    }), this.table);
  }

  /** Lets an entry exchange loads with the leader. */
  follow(entryId: string, workers: RoutedWorkers): void {
    const request = WatchRequest.fromPartial({
      entryId, callerAddress: entryId, state: 'active', loads: listLoads(workers),
    });
    this.now += STEP_MS;
    this.leaderState.recordEntry(request);
    const { loadList } = this.leaderState.buildEntryPart(request);
    applyLoads(workers, LoadList.decode(loadList).loads, request.loads);
  }
}

const makeWorkers = (): RoutedWorkers => {
  const workers = makeRoutedWorkers();
  applyRecords(workers, announcements.map((said) => WorkerRecord.fromPartial({ said, standing: 'ready' })), 0);
  return workers;
};

const countAll = (workers: RoutedWorkers): number => [...workers.byId.values()]
  .reduce((sum, { inFlight, othersInFlight }) => sum + inFlight + othersInFlight, 0);

const findFree = (workers: RoutedWorkers): string | undefined => chooseRoutedWorker(workers, {
  service: 'm', promptTokens: 100, outputTokens: 10, remainingMs: 9_000, zone: 'a', tried: [], requiresFreeSlot: true,
}, 0)?.worker.id;

describe('the loads that an entry knows', () => {
  // Fault: servers whose slots the leader had granted looked idle to entries that chose without it.
  it('should contain the requests of other entries that the leader placed', () => {
    const rig = new LoadRig();
    const workers = makeWorkers();
    rig.place('e1', 2 * SLOTS + 1);
    rig.follow('e2', workers);
    expect(countAll(workers)).toBe(2 * SLOTS + 1);
    const free = findFree(workers);
    expect(workers.byId.get(free ?? '')?.othersInFlight).toBe(1);
    rig.place('e3', 1);
    rig.follow('e2', workers);
    expect(findFree(workers)).toBeUndefined();
  });

  it('should contain own requests once, whoever placed them', () => {
    const rig = new LoadRig();
    const workers = makeWorkers();
    rig.place('e1', 3 * SLOTS);
    const [placed, chosen] = [...workers.byId.values()];
    Object.assign(placed ?? {}, { inFlight: SLOTS, placed: SLOTS, pendingTokens: 200 });
    Object.assign(chosen ?? {}, { inFlight: 1, pendingTokens: 100 });
    rig.follow('e1', workers);
    expect(countAll(workers)).toBe(3 * SLOTS + 1);
    expect(placed).toMatchObject({ othersInFlight: 0, othersPendingTokens: 0 });
    expect(chosen).toMatchObject({ othersInFlight: SLOTS, othersPendingTokens: 200 });
  });
});
