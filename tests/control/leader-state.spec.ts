import { describe, expect, it } from 'vitest';
import { LeaderState } from '../../src/control/leaderState';
import { makeWorkerTable, applyAnnouncement } from '../../src/core/routing/workerTable';
import { PlaceNews, WatchRequest, WorkerAnnouncement } from '../../src/protocol/generated/beechlift';
import type { PlaceDecisions } from '../../src/protocol/generated/beechlift';
import { makeAccount } from '../fakes/routings';

/** State of a leader with one engine that has one slot. */
class LeaderRig {
  now = 0;

  ended = 0;

  readonly sent: PlaceDecisions[] = [];

  readonly workers = makeWorkerTable('t');

  readonly leaderState = new LeaderState({
    clock: { now: () => this.now }, leaseMs: 2_300, limitSlack: 1_000,
  });

  constructor() {
    applyAnnouncement(this.workers, WorkerAnnouncement.fromPartial({
      workerId: 'w1', service: 'm', address: '10.0.0.1:80', zone: 'a', slots: 1, state: 'ready', sequence: 1,
    }), 0);
  }

  openStream() {
    return this.leaderState.openStream({
      send: (message) => this.sent.push(message),
      end: () => {
        this.ended += 1;
      },
    });
  }

  recordEntry(entryId: string): void {
    this.leaderState.recordEntry(WatchRequest.fromPartial({ entryId, callerAddress: entryId, state: 'active' }));
  }
}

const buildMessage = (
  entryId: string,
  placeIds: readonly string[],
): PlaceNews => PlaceNews.fromPartial({
  number: 1,
  entryId,
  requests: placeIds.map((placeId) => ({
    placeId, entryId, service: 'm', targetMs: 30_000, remainingMs: 30_000,
  })),
});

describe('the state of a leader', () => {
  /*
   * The connection of an entry that loses power is not closed. Its requests kept waiting, and free
   * slots were granted to callers that were gone.
   */
  it('should close the stream of an entry that timed out, and drop its waiting requests', () => {
    const rig = new LeaderRig();
    rig.recordEntry('e1');
    rig.leaderState.handleMessage(rig.openStream(), buildMessage('e1', ['a', 'b']), rig.workers);
    expect(rig.leaderState.countRequests()).toEqual({ waiting: 1, placed: 1 });
    rig.now = 2_500;
    rig.leaderState.refresh(rig.workers);
    expect(rig.ended).toBe(1);
    expect(rig.leaderState.countRequests()).toEqual({ waiting: 0, placed: 0 });
  });

  it('should keep the stream of an entry that sends watch requests or placement messages', () => {
    const rig = new LeaderRig();
    const stream = rig.openStream();
    rig.recordEntry('e1');
    rig.leaderState.handleMessage(stream, buildMessage('e1', ['a', 'b']), rig.workers);
    rig.now = 2_500;
    rig.recordEntry('e1');
    rig.leaderState.refresh(rig.workers);
    expect(rig.leaderState.countRequests().waiting).toBe(1);
    rig.now = 5_500;
    rig.leaderState.handleMessage(stream, PlaceNews.fromPartial({ number: 2 }), rig.workers);
    rig.leaderState.refresh(rig.workers);
    expect(rig.ended).toBe(0);
  });
});

describe('the limits of accounts at a new leader', () => {
  const EPOCH = 'l2';

  const makeRig = (): LeaderRig => {
    const rig = new LeaderRig();
    rig.leaderState.configureAccounts([makeAccount({ perSecond: 1_000, burst: 1_000 })]);
    return rig;
  };

  const makeRequest = (changes: Partial<WatchRequest>): WatchRequest => WatchRequest.fromPartial({
    entryId: 'e1', callerAddress: 'e1', state: 'active', knownEntries: 1, chargesEpoch: 'l1', ...changes,
  });

  const charges = [{ account: 'lobby', units: [1_100] }];

  /** Units that are granted after a watch request; undefined if the entry keeps its grants. */
  const grantUnits = (
    rig: LeaderRig,
    request: WatchRequest,
    receivedAt?: number,
  ): number | undefined => {
    rig.leaderState.recordEntry(request, EPOCH, receivedAt);
    return rig.leaderState.buildEntryPart(request).grants[0]?.units;
  };

  it('should grant a whole burst, and a share of the slack, if nothing was charged', () => {
    expect(grantUnits(makeRig(), makeRequest({}))).toBe(1_250);
  });

  // Fault: each new leader gave the whole burst again, whatever was charged before.
  it('should not grant a burst again that was used under the earlier leader', () => {
    expect(grantUnits(makeRig(), makeRequest({ recentCharges: charges }))).toBe(250);
  });

  it('should count what an entry tells once', () => {
    const rig = makeRig();
    grantUnits(rig, makeRequest({ recentCharges: charges }));
    expect(grantUnits(rig, makeRequest({ recentCharges: charges }))).toBe(250);
  });

  it('should not count what this leader charged itself', () => {
    const request = makeRequest({ recentCharges: charges, chargesEpoch: EPOCH });
    expect(grantUnits(makeRig(), request)).toBe(1_250);
  });

  it('should count charges by their age when a request was held before this replica led', () => {
    expect(grantUnits(makeRig(), makeRequest({ recentCharges: charges }), -500)).toBe(750);
  });

  it('should add to a late report what was refilled since it began to lead', () => {
    const rig = makeRig();
    rig.now = 400;
    expect(grantUnits(rig, makeRequest({ recentCharges: charges }), 0)).toBe(650);
  });

  it('should leave entries their grants until half of them have told, for half a second', () => {
    const rig = makeRig();
    const request = makeRequest({
      recentCharges: [{ account: 'lobby', units: [400] }], knownEntries: 4,
    });
    expect(grantUnits(rig, request)).toBeUndefined();
    rig.now = 500;
    expect(grantUnits(rig, request)).toBe(1_050);
  });

  it('should scale what half of the entries told to all of them', () => {
    const rig = makeRig();
    grantUnits(rig, makeRequest({ recentCharges: [{ account: 'lobby', units: [550] }], knownEntries: 2 }));
    expect(rig.leaderState.buildEntryPart(makeRequest({})).grants[0]?.units).toBe(250);
  });

  it.each([NaN, -5_000, Infinity])('should ignore charges of %d units', (units) => {
    expect(grantUnits(makeRig(), makeRequest({ recentCharges: [{ account: 'lobby', units: [units] }] }))).toBe(1_250);
  });
});

describe('the list of entries of a new leader', () => {
  /** Whether an entry with the list of an earlier leader gets the new one by then. */
  const isSent = (afterMs: number, knownEntries: number): boolean => {
    const rig = new LeaderRig();
    rig.now = afterMs;
    const request = WatchRequest.fromPartial({
      entryId: 'e1', callerAddress: 'e1', state: 'active', entriesEpoch: 'earlier', entriesRevision: 7, knownEntries,
    });
    rig.leaderState.recordEntry(request, 'own');
    return rig.leaderState.buildEntryListPart(request, 'own').entries.length > 0;
  };

  // Entries of a large site send their watch requests less often. Callers were sent to the few
  // that had reached the new leader after half a second.
  it('should not replace an earlier one before the entries of a large site had time for two watch requests', () => {
    expect([700, 950].map((afterMs) => isSent(afterMs, 78))).toEqual([false, true]);
  });

  it('should replace an earlier one after half a second on a small site', () => {
    expect([400, 550].map((afterMs) => isSent(afterMs, 8))).toEqual([false, true]);
  });

  // On small sites, replicas that grant no slots took a part of each account's grants from entries.
  it('should divide grants among those that decide on requests', () => {
    const rig = new LeaderRig();
    rig.leaderState.configureAccounts([makeAccount({ name: 'shop', perSecond: 100, burst: 100 })]);
    const request = WatchRequest.fromPartial({ entryId: 'e1', callerAddress: 'e1', state: 'active' });
    rig.leaderState.recordEntry(request);
    const readUnits = (): number | undefined => (
      rig.leaderState.buildEntryPart(request).grants[0]?.units);
    const before = readUnits();
    ['r1', 'r2', 'r3'].forEach((replicaId) => (
      rig.leaderState.recordDelegate(WatchRequest.fromPartial({ delegate: { replicaId } }))));
    expect(readUnits()).toBe(before);
    expect(rig.leaderState.buildDelegatePart('r1').grants).toEqual([]);
  });
});
