import { describe, expect, it } from 'vitest';
import { DEFAULT_LOG_TIMINGS, makeEmptyLog, makeLogState } from '../../src/core/log/logState';
import { handleLogEvent } from '../../src/core/log/replicatedLog';
import type { LogEffect, LogState } from '../../src/core/log/logTypes';
import { LogMessage } from '../../src/protocol/generated/beechlift';

const LEADER = 'c0';
const START = 10_000;
const TICK_MS = 25;
const { heartbeatMs, electionTimeoutMs, maxPatienceMs } = DEFAULT_LOG_TIMINGS;
/** Longest random part of an election timer, in multiples of it. */
const MAX_JITTER = 1.6;
const voters = [LEADER, 'c1', 'c2', 'c3', 'c4'].map((id) => ({ id, address: '', zone: '' }));

const makeFollower = (random = 0): LogState => (
  makeLogState('c1', makeEmptyLog({ voters, learners: [], leaving: [] }), () => random, 0));

const deliver = (state: LogState, fields: Partial<LogMessage>, now: number): LogEffect[] => (
  handleLogEvent(state, { kind: 'message', message: LogMessage.fromPartial({ to: 'c1', ...fields }) }, now));

const sendHeartbeat = (state: LogState, now: number): LogEffect[] => (
  deliver(state, { kind: 'append', from: LEADER, term: 1 }, now));

/** Delivers heartbeats at the given gaps; returns the time of the last one. */
const sendHeartbeats = (state: LogState, gapsMs: readonly number[]): number => (
  gapsMs.reduce((now, gapMs) => {
    sendHeartbeat(state, now + gapMs);
    return now + gapMs;
  }, START));

/** Ticks until the replica asks for pre-votes; returns how long that took. */
const waitForPreVote = (state: LogState, from: number, ms = TICK_MS): number => {
  const effects = handleLogEvent(state, { kind: 'tick' }, from + ms);
  const asks = effects.some((effect) => effect.kind === 'send' && effect.message.kind === 'preVote');
  return asks || ms > 10_000 ? ms : waitForPreVote(state, from, ms + TICK_MS);
};

const isPreVoteGranted = (state: LogState, now: number): boolean => (
  deliver(state, { kind: 'preVote', from: 'c2', term: 9 }, now)
    .some((effect) => effect.kind === 'send' && effect.message.granted));

describe('the patience of a follower', () => {
  // Full leaders were replaced every few seconds, with no fault at any replica.
  it('should let a leader go on whose messages come late', () => {
    const state = makeFollower();
    const last = sendHeartbeats(state, [heartbeatMs, 250, heartbeatMs, heartbeatMs]);
    expect(waitForPreVote(state, last)).toBeGreaterThan(600);
    expect(isPreVoteGranted(makeFollower(), START)).toBe(true);
  });

  // The replica that restarted last was impatient, and the others elected it.
  it('should refuse a pre-vote while a leader that is late is waited for', () => {
    const state = makeFollower();
    const last = sendHeartbeats(state, [heartbeatMs, 250, heartbeatMs]);
    expect(isPreVoteGranted(state, last + electionTimeoutMs + 1)).toBe(false);
    expect(isPreVoteGranted(state, last + maxPatienceMs + 1)).toBe(true);
  });

  it('should not grow where messages come in time', () => {
    const state = makeFollower();
    const last = sendHeartbeats(state, Array.from({ length: 20 }, () => heartbeatMs + TICK_MS));
    expect(waitForPreVote(state, last)).toBeLessThanOrEqual(electionTimeoutMs + TICK_MS);
  });

  it('should end after its upper bound, however late the leader was', () => {
    const state = makeFollower(1);
    const last = sendHeartbeats(state, [heartbeatMs, 5_000, heartbeatMs]);
    expect(waitForPreVote(state, last)).toBeLessThanOrEqual(MAX_JITTER * maxPatienceMs + TICK_MS);
  });

  it('should fall back once messages come in time again', () => {
    const state = makeFollower();
    const inTime = Array.from({ length: 120 }, () => heartbeatMs);
    const last = sendHeartbeats(state, [heartbeatMs, 400, ...inTime]);
    expect(waitForPreVote(state, last)).toBeLessThanOrEqual(electionTimeoutMs + TICK_MS);
  });

  // One long gap, as after a freeze of this replica, kept patience at its upper bound for long.
  it('should fall back as soon after a very long gap as after one at its bound', () => {
    const inTime = Array.from({ length: 80 }, () => heartbeatMs);
    const waits = [maxPatienceMs / 3, 60_000].map((gapMs) => {
      const state = makeFollower();
      return waitForPreVote(state, sendHeartbeats(state, [heartbeatMs, gapMs, ...inTime]));
    });
    expect(waits).toEqual([electionTimeoutMs, electionTimeoutMs]);
  });

  it('should not count the time between two leaders', () => {
    const state = makeFollower();
    sendHeartbeats(state, [heartbeatMs]);
    deliver(state, { kind: 'append', from: 'c2', term: 2 }, START + 2_000);
    expect(waitForPreVote(state, START + 2_000)).toBeLessThanOrEqual(electionTimeoutMs + TICK_MS);
  });

  // A lease rests on it: two leaders at once could accept different documents.
  it('should leave the promise not to vote as it is', () => {
    const state = makeFollower();
    const last = sendHeartbeats(state, [heartbeatMs, 250, heartbeatMs]);
    const vote = (now: number): boolean => deliver(state, { kind: 'vote', from: 'c2', term: 9 }, now)
      .some((effect) => effect.kind === 'send' && effect.message.granted);
    expect(vote(last + electionTimeoutMs - 1)).toBe(false);
    expect(vote(last + electionTimeoutMs + 1)).toBe(true);
  });
});
