import { describe, expect, it } from 'vitest';
import { DEFAULT_LOG_TIMINGS, makeEmptyLog, makeLogState } from '../../src/core/log/logState';
import { handleLogEvent } from '../../src/core/log/replicatedLog';
import type { LogEffect, LogState, StoredLog } from '../../src/core/log/logTypes';
import { LogMessage } from '../../src/protocol/generated/beechlift';
import type { LogEntry } from '../../src/protocol/generated/beechlift';

const LATER = 10_000;
const voters = ['c0', 'c1', 'c2'].map((id) => ({ id, address: '', zone: '' }));
const empty = makeEmptyLog({ voters, learners: [], leaving: [] });

const makeReplica = (
  stored: StoredLog = empty,
  now = 0,
): LogState => makeLogState('c1', stored, () => 0.5, now);

const deliver = (state: LogState, fields: Partial<LogMessage>, now = LATER): LogEffect[] => (
  handleLogEvent(state, { kind: 'message', message: LogMessage.fromPartial({ to: 'c1', ...fields }) }, now)
);

const findReply = (effects: readonly LogEffect[]): LogMessage | undefined => (
  effects.flatMap((effect) => (effect.kind === 'send' ? [effect.message] : [])).at(-1)
);

/** Returns the stored log after the effects were carried out. */
const store = (stored: StoredLog, effects: readonly LogEffect[]): StoredLog => effects.reduce(
  (disk, effect) => (effect.kind === 'persist'
    ? { ...disk, hardState: effect.hardState, entries: [...disk.entries, ...effect.entries] }
    : disk),
  stored,
);

const makeEntry = (
  index: number,
  term: number,
): LogEntry => ({ index, term, command: `e${index}` });

const lead = (state: LogState): void => {
  handleLogEvent(state, { kind: 'tick' }, LATER);
  deliver(state, {
    kind: 'preVoteReply', from: 'c0', term: state.term + 1, granted: true,
  });
  deliver(state, {
    kind: 'voteReply', from: 'c0', term: state.term, granted: true,
  });
};

describe('a replica of the log', () => {
  /*
   * Guards against two leaders in one term, which could accept different contents as version 8. A
   * replica that crashes before its vote is on disk could vote for another candidate in the same
   * term.
   */
  it('should not vote twice in a term after a crash', () => {
    const before = makeReplica();
    const effects = deliver(before, { kind: 'vote', from: 'c0', term: 1 });
    expect(findReply(effects)?.granted).toBe(true);
    const after = makeReplica(store(empty, effects));
    expect(findReply(deliver(after, { kind: 'vote', from: 'c2', term: 1 }))?.granted).toBe(false);
  });

  /*
   * Guards against losing an accepted manifest when its leader fails: a replica without the
   * manifest is elected because replicas that store it vote for a shorter log.
   */
  it('should not vote for a log that lacks its own entries', () => {
    const stored = {
      ...empty, hardState: { term: 2, votedFor: '' }, entries: [makeEntry(1, 1), makeEntry(2, 2)],
    };
    const vote = (fields: Partial<LogMessage>) => findReply(deliver(makeReplica(stored), {
      kind: 'vote', from: 'c0', term: 3, ...fields,
    }))?.granted;
    expect(vote({ lastIndex: 9, lastTerm: 1 })).toBe(false);
    expect(vote({ lastIndex: 1, lastTerm: 2 })).toBe(false);
    expect(vote({ lastIndex: 2, lastTerm: 2 })).toBe(true);
  });

  /*
   * Guards against reverting an accepted version: a leader commits an entry of an older term by
   * counting replicas, although a replica with a newer last term could still be elected and replace
   * the entry.
   */
  it('should not commit an entry of an older term by count', () => {
    const state = makeReplica({
      ...empty, hardState: { term: 1, votedFor: '' }, entries: [makeEntry(1, 1)],
    });
    lead(state);
    expect(state.role).toBe('leader');
    deliver(state, {
      kind: 'appendReply', from: 'c0', term: state.term, granted: true, matchIndex: 1, round: 1,
    });
    expect(state.commitIndex).toBe(0);
    handleLogEvent(state, { kind: 'synced', index: 2, term: state.term }, LATER);
    deliver(state, {
      kind: 'appendReply', from: 'c0', term: state.term, granted: true, matchIndex: 2, round: 1,
    });
    expect(state.commitIndex).toBe(2);
  });

  /*
   * Guards against losing an acknowledged manifest when two of three VMs lose power: the leader
   * counted its own copy before it was synced to disk.
   */
  it('should not count its own copy before it is synced', () => {
    const state = makeReplica();
    lead(state);
    deliver(state, {
      kind: 'appendReply', from: 'c0', term: state.term, granted: true, matchIndex: 1, round: 1,
    });
    expect(state.commitIndex).toBe(0);
    handleLogEvent(state, { kind: 'synced', index: 1, term: state.term }, LATER);
    expect(state.commitIndex).toBe(1);
  });

  /*
   * Guards against entries that serve an old version while a newer one is accepted: a replica
   * acknowledges the leader, restarts within the leader lease, and votes for another replica at
   * once.
   */
  it('should grant no vote for one election timeout after a restart', () => {
    const restarted = makeReplica(empty, LATER);
    const vote = (now: number) => findReply(
      deliver(restarted, { kind: 'vote', from: 'c2', term: 5 }, now),
    )?.granted;
    const { electionTimeoutMs } = DEFAULT_LOG_TIMINGS;
    expect(vote(LATER + electionTimeoutMs - 1)).toBe(false);
    expect(vote(LATER + electionTimeoutMs + 1)).toBe(true);
  });
});
