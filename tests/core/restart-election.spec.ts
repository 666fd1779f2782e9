import { describe, expect, it } from 'vitest';
import { DEFAULT_LOG_TIMINGS, makeEmptyLog, makeLogState } from '../../src/core/log/logState';
import { handleLogEvent } from '../../src/core/log/replicatedLog';
import type { LogEffect, LogState } from '../../src/core/log/logTypes';
import { LogMessage } from '../../src/protocol/generated/beechlift';

const voters = ['c0', 'c1', 'c2'].map((id) => ({ id, address: '', zone: '' }));
const empty = makeEmptyLog({ voters, learners: [], leaving: [] });
/** Milliseconds that a process needs until its log runs, on a small part of a core. */
const START_MS = 900;
const TICK_MS = 25;

const makeReplica = (id: string, now: number, startedAt = 0): LogState => (
  makeLogState(id, empty, () => 0.5, now, { startedAt }));

const listMessages = (effects: readonly LogEffect[]): LogMessage[] => effects
  .flatMap((effect) => (effect.kind === 'send' ? [effect.message] : []));

/** Lets ticks pass until a replica sends something; returns when that was. */
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
   * All processes of a site were killed. They are back within a second, and callers are refused for
   * almost half a second more: each replica counted the moment at which its log began to run as a
   * contact with the leader, though its process had been starting for longer than any lease lasts.
   */
  it('should begin as soon as the log runs, when the start took longer than a lease', () => {
    const state = makeReplica('c1', START_MS);
    expect(tickUntilSends(state, START_MS, START_MS + 500)).toBeLessThan(START_MS + 100);
    const other = makeReplica('c2', START_MS);
    expect(askPreVote(other, 'c1', START_MS + 5)).toBe(true);
  });

  /*
   * A manifest is accepted by a new leader while the old one still grants leases on the version
   * before. A replica had acknowledged the old leader, was restarted within some milliseconds, and
   * helped the new one to power at once.
   */
  it('should wait for a lease that the process before may have acknowledged', () => {
    const { electionTimeoutMs: electionTimeoutMs } = DEFAULT_LOG_TIMINGS;
    const state = makeReplica('c1', 20);
    expect(tickUntilSends(state, 20, 2_000)).toBeGreaterThanOrEqual(electionTimeoutMs);
    expect(askPreVote(makeReplica('c2', 20), 'c1', electionTimeoutMs - 1)).toBe(false);
    expect(askPreVote(makeReplica('c2', 20), 'c1', electionTimeoutMs + 1)).toBe(true);
  });

  /*
   * The first replica that is back asks for votes while the others are still starting, and nobody
   * hears it. It waited for a whole silence before it asked again, and so did the site's callers.
   */
  it('should ask again soon while nobody answers', () => {
    const state = makeReplica('c1', START_MS);
    const first = tickUntilSends(state, START_MS, START_MS + 500);
    const second = tickUntilSends(state, first + TICK_MS, first + 500);
    expect(second - first).toBeLessThan(150);
  });

  /*
   * Two replicas came back in the same moment, granted each other what they asked, and stood for
   * the same term: each had one vote, and the third had none to give. A whole silence was lost.
   */
  it('should let one of two that ask at the same time stand', () => {
    const first = makeReplica('c0', START_MS);
    const second = makeReplica('c2', START_MS);
    const at = Math.max(
      tickUntilSends(first, START_MS, START_MS + 500),
      tickUntilSends(second, START_MS, START_MS + 500),
    );
    expect([askPreVote(first, 'c2', at + 2), askPreVote(second, 'c0', at + 2)]).toEqual([false, true]);
  });
});
