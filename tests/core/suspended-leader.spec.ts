import { describe, expect, it } from 'vitest';
import { makeEmptyLog, makeLogState } from '../../src/core/log/logState';
import {
  handleLogEvent, holdsLeaderLease, isRoundConfirmed,
} from '../../src/core/log/replicatedLog';
import type { LogEffect, LogState } from '../../src/core/log/logTypes';
import type { Replica } from '../../src/protocol/generated/beechlift';
import { SuspensionDetector } from '../../src/utils/clock';

const voters: Replica[] = ['a', 'b', 'c'].map((id) => ({ id, address: id, zone: '' }));

const makeReplicas = (): LogState[] => voters.map(({ id }) => (
  makeLogState(id, makeEmptyLog({ voters, learners: [], leaving: [] }), () => 0.5, 0)));

/** Delivers the messages of a step and all resulting messages; disks sync immediately. */
const deliver = (replicas: LogState[], from: LogState, effects: LogEffect[], now: number): void => {
  effects.forEach((effect) => {
    if (effect.kind === 'persist') {
      const last = effect.entries.at(-1);
      if (last) deliver(replicas, from, handleLogEvent(from, { kind: 'synced', index: last.index, term: last.term }, now), now);
    }
    if (effect.kind !== 'send') return;
    const target = replicas.find(({ id }) => id === effect.message.to);
    if (target) deliver(replicas, target, handleLogEvent(target, { kind: 'message', message: effect.message }, now), now);
  });
};

const elect = (replicas: LogState[], leader: LogState, now: number): void => {
  leader.electionAt = now;
  deliver(replicas, leader, handleLogEvent(leader, { kind: 'tick' }, now), now);
};

describe('a leader that was suspended', () => {
  // Guards against outdated reads: a leader's machine is suspended for four seconds, together with
  // its monotonic clock, and another leader is elected and accepts a change. After the suspension,
  // the lease of the first leader looks valid by its own clock, so it would report the older
  // document, including revoked keys, as in force.
  it('should hold no lease after a suspension until a majority acknowledges a new round', () => {
    const replicas = makeReplicas();
    const [first, second] = replicas as [LogState, LogState];
    elect(replicas, first, 1_000);
    expect(holdsLeaderLease(first, 1_010)).toBe(true);
    const others = replicas.slice(1);
    elect(others, second, 5_000);
    expect(second.role).toBe('leader');
    handleLogEvent(first, { kind: 'suspended' }, 1_020);
    expect(holdsLeaderLease(first, 1_020)).toBe(false);
    deliver(replicas, first, handleLogEvent(first, { kind: 'tick' }, 1_200), 1_200);
    expect(holdsLeaderLease(first, 1_200)).toBe(false);
  });

  it('should renew its lease with the next round when no other leader was elected', () => {
    const replicas = makeReplicas();
    const [first] = replicas as [LogState];
    elect(replicas, first, 1_000);
    handleLogEvent(first, { kind: 'suspended' }, 1_020);
    deliver(replicas, first, handleLogEvent(first, { kind: 'confirm' }, 1_030), 1_030);
    expect(holdsLeaderLease(first, 1_030)).toBe(true);
  });

  it('should confirm its leadership for a read with a round, unless it was replaced', () => {
    const replicas = makeReplicas();
    const [first, second] = replicas as [LogState, LogState];
    elect(replicas, first, 1_000);
    deliver(replicas, first, handleLogEvent(first, { kind: 'confirm' }, 1_010), 1_010);
    expect(isRoundConfirmed(first, first.term, first.round)).toBe(true);
    elect(replicas.slice(1), second, 5_000);
    const { term } = first;
    deliver(replicas, first, handleLogEvent(first, { kind: 'confirm' }, 1_020), 1_020);
    expect(isRoundConfirmed(first, term, first.round)).toBe(false);
  });
});

describe('the detection of suspensions', () => {
  const makeWatch = () => {
    const times = { monotonic: 0, wall: 1_000_000 };
    return {
      times,
      watch: new SuspensionDetector({ now: () => times.monotonic }, () => times.wall),
    };
  };

  it('should detect that the wall clock advanced without the monotonic clock', () => {
    const { times, watch } = makeWatch();
    const before = watch.readEpoch();
    times.monotonic += 50;
    times.wall += 4_050;
    expect(watch.readEpoch()).not.toBe(before);
  });

  it('should detect nothing while both clocks advance equally', () => {
    const { times, watch } = makeWatch();
    const before = watch.readEpoch();
    Array.from({ length: 1_000 }).forEach(() => {
      times.monotonic += 10;
      times.wall += 10;
    });
    expect(watch.readEpoch()).toBe(before);
  });

  it('should treat a wall clock that was set back as a suspension, once', () => {
    const { times, watch } = makeWatch();
    const before = watch.readEpoch();
    times.wall -= 2_400;
    const after = watch.readEpoch();
    expect(after).not.toBe(before);
    expect(watch.readEpoch()).toBe(after);
  });
});
