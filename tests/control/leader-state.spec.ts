import { describe, expect, it } from 'vitest';
import { LeaderState } from '../../src/control/leaderState';
import { makeWorkerTable, applyAnnouncement } from '../../src/core/routing/workerTable';
import { PlaceNews, WatchRequest, WorkerAnnouncement } from '../../src/protocol/generated/beechlift';
import type { PlaceDecisions } from '../../src/protocol/generated/beechlift';

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
