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

/** What the disk holds after the effects were carried out. */
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
   * Two operators each hold an acceptance of version 8, with other contents. A replica voted,
   * crashed, and voted again in the same term for another, as its vote was not on disk; so two
   * leaders each had a majority.
   */
  it('should not vote twice in a term after a crash', () => {
    const before = makeReplica();
    const effects = deliver(before, { kind: 'vote', from: 'c0', term: 1 });
    expect(findReply(effects)?.granted).toBe(true);
    const after = makeReplica(store(empty, effects));
    expect(findReply(deliver(after, { kind: 'vote', from: 'c2', term: 1 }))?.granted).toBe(false);
  });

  /*
   * An accepted manifest is gone after its leader died. A replica that lacked it was elected, as
   * those who held it voted for a shorter log.
   */
  it('should not vote for a log that lacks what it holds', () => {
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
   * An operator reads version 8 as accepted, and later version 7 is in force. A leader counted an
   * entry of an older term as committed, though a replica with a newer last term could still be
   * elected and replace it.
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
   * A manifest was acknowledged and is gone after a power loss at two of three VMs. The leader
   * counted its own copy before its disk had synced it.
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
   * Entries serve an old version while a newer one is accepted. A replica acknowledged the leader,
   * restarted within the lease that rests on it, and helped another to power at once.
   */
  it('should help no other to power for one election time after a restart', () => {
    const restarted = makeReplica(empty, LATER);
    const vote = (now: number) => findReply(
      deliver(restarted, { kind: 'vote', from: 'c2', term: 5 }, now),
    )?.granted;
    const { electionTimeoutMs: electionTimeoutMs } = DEFAULT_LOG_TIMINGS;
    expect(vote(LATER + electionTimeoutMs - 1)).toBe(false);
    expect(vote(LATER + electionTimeoutMs + 1)).toBe(true);
  });
});
