import { describe, expect, it } from 'vitest';
import { DEFAULT_LOG_TIMINGS, makeEmptyLog, makeLogState } from '../../src/core/log/logState';
import { handleLogEvent } from '../../src/core/log/replicatedLog';
import type { LogEffect, LogState } from '../../src/core/log/logTypes';
import { LogMessage } from '../../src/protocol/generated/beechlift';

const voters = ['c0', 'c1', 'c2'].map((id) => ({ id, address: '', zone: '' }));
const empty = makeEmptyLog({ voters, learners: [], leaving: [] });
/** Start time of a process until its log runs, on a fraction of a core, in milliseconds. */
const START_MS = 900;
const TICK_MS = 25;

const makeReplica = (id: string, now: number, startedAt = 0): LogState => (
  makeLogState(id, empty, () => 0.5, now, { startedAt }));

const listMessages = (effects: readonly LogEffect[]): LogMessage[] => effects
  .flatMap((effect) => (effect.kind === 'send' ? [effect.message] : []));

/** Runs ticks until a replica sends a message; returns the time, or Infinity when it sends none. */
const tickUntilSends = (state: LogState, from: number, until: number): number => {
  const times = Array.from({ length: Math.ceil((until - from) / TICK_MS) }, (unused, step) => (
    from + step * TICK_MS));
  return times.find((now) => (
    listMessages(handleLogEvent(state, { kind: 'tick' }, now)).length > 0)) ?? Infinity;
};

const askPreVote = (state: LogState, from: string, now: number): boolean => {
  const message = LogMessage.fromPartial({
    kind: 'preVote', to: state.id, from, term: state.term + 1,
  });
  const [reply] = listMessages(handleLogEvent(state, { kind: 'message', message }, now));
  return reply?.granted ?? false;
};

describe('an election after all replicas were restarted', () => {
  /*
   * Guards against an unnecessary wait after all processes of a site were killed, during which
   * callers are refused: each replica counted the start of its log as a leader contact, although
   * its process had been starting for longer than a lease.
   */
  it('should begin as soon as the log runs, when the start took longer than a lease', () => {
    const state = makeReplica('c1', START_MS);
    expect(tickUntilSends(state, START_MS, START_MS + 500)).toBeLessThan(START_MS + 100);
    const other = makeReplica('c2', START_MS);
    expect(askPreVote(other, 'c1', START_MS + 5)).toBe(true);
  });

  /*
   * Guards against a new leader that accepts a manifest while the old leader still grants leases on
   * the previous version: a replica acknowledges the old leader, restarts within milliseconds, and
   * votes for the new leader at once.
   */
  it('should wait for a lease that the previous process may have acknowledged', () => {
    const { electionTimeoutMs } = DEFAULT_LOG_TIMINGS;
    const state = makeReplica('c1', 20);
    expect(tickUntilSends(state, 20, 2_000)).toBeGreaterThanOrEqual(electionTimeoutMs);
    expect(askPreVote(makeReplica('c2', 20), 'c1', electionTimeoutMs - 1)).toBe(false);
    expect(askPreVote(makeReplica('c2', 20), 'c1', electionTimeoutMs + 1)).toBe(true);
  });

  /*
   * Guards against a long outage after a restart: the first replica requests pre-votes while the
   * others are still starting, and then waits a full election timeout before the next attempt.
   */
  it('should repeat the pre-vote soon while no replica answers', () => {
    const state = makeReplica('c1', START_MS);
    const first = tickUntilSends(state, START_MS, START_MS + 500);
    const second = tickUntilSends(state, first + TICK_MS, first + 500);
    expect(second - first).toBeLessThan(150);
  });

  /*
   * Guards against a split vote: two replicas return at the same time, grant each other's pre-vote
   * and start an election in the same term. No replica gets a majority, and a full election timeout
   * is lost.
   */
  it('should grant only one of two simultaneous pre-votes', () => {
    const first = makeReplica('c0', START_MS);
    const second = makeReplica('c2', START_MS);
    const at = Math.max(
      tickUntilSends(first, START_MS, START_MS + 500),
      tickUntilSends(second, START_MS, START_MS + 500),
    );
    expect([askPreVote(first, 'c2', at + 2), askPreVote(second, 'c0', at + 2)]).toEqual([false, true]);
  });
});
