import { describe, expect, it } from 'vitest';
import { makeEmptyLog } from '../../src/core/log/logState';
import { CatchUpModel } from './catchUpModel';

const VOTERS = ['c0', 'c1', 'c2'].map((id) => ({ id, address: id, zone: '' }));
const NEWCOMER = { id: 'c3', address: 'c3', zone: '' };
/** Time in which a replica that was replaced must be able to vote, in milliseconds. */
const CATCH_UP_MS = 4_000;
const ENTRY_BYTES = 10_000;

const makeLog = (entryCount: number) => ({
  ...makeEmptyLog({ voters: VOTERS, learners: [NEWCOMER], leaving: [] }),
  hardState: { term: 1, votedFor: '' },
  entries: Array.from({ length: entryCount }, (unused, position) => ({
    index: position + 1, term: 1, command: 'd'.repeat(ENTRY_BYTES),
  })),
});

describe('a replica that joins', () => {
  // A site lost its log with its second disk: the replacement of the first had been sent the same
  // entries again with each heartbeat for ten seconds, and none of them in full.
  it.each([
    { entryCount: 50, bytesPerMs: 5_000 },
    { entryCount: 150, bytesPerMs: 5_000 },
    { entryCount: 500, bytesPerMs: 5_000 },
    { entryCount: 150, bytesPerMs: 1_000 },
  ])('should have all $entryCount entries in time over $bytesPerMs bytes a millisecond', ({ entryCount, bytesPerMs }) => {
    const model = new CatchUpModel(makeLog(entryCount), bytesPerMs);
    expect(model.runUntilCaughtUp(CATCH_UP_MS)).toBe(true);
    expect(model.bytesSent).toBeLessThan(2 * entryCount * ENTRY_BYTES);
  });

  // The same with a snapshot: each heartbeat began another transfer of it.
  it('should have a snapshot in time', () => {
    const log = makeLog(0);
    const snapshot = {
      ...log.snapshot, index: 9, term: 1, data: 'd'.repeat(150 * ENTRY_BYTES),
    };
    const model = new CatchUpModel({ ...log, snapshot }, 1_000);
    expect(model.runUntilCaughtUp(CATCH_UP_MS)).toBe(true);
    expect(model.bytesSent).toBeLessThan(2 * 150 * ENTRY_BYTES);
  });

  // Lost messages must not end a transfer that has no other sender.
  it('should have all entries although messages are lost', () => {
    const model = new CatchUpModel(makeLog(150), 5_000, (count) => count % 4 === 0);
    expect(model.runUntilCaughtUp(2 * CATCH_UP_MS)).toBe(true);
  });
});
