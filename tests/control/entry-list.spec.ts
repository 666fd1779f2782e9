import { describe, expect, it } from 'vitest';
import { EntryTable } from '../../src/control/entryTable';
import { LeaderBook } from '../../src/control/leaderBook';
import { EntryList, selectEntries } from '../../src/core/routing/entryList';
import { EntryRecord, WatchRequest } from '../../src/protocol/generated/beechlift';

const LEASE_MS = 4_000;

const note = (table: EntryTable, entryId: string, state: string, now: number): void => {
  table.note(WatchRequest.fromPartial({
    entryId, callerAddress: `${entryId}:1`, zone: 'a', state,
  }), now);
};

const makeRecord = (id: string, zone = 'a'): EntryRecord => ({
  id, callerAddress: `${id}:1`, zone, state: 'active',
});

describe('the list of entries', () => {
  it('should change its revision only when an entry comes, leaves or falls silent', () => {
    const table = new EntryTable(LEASE_MS);
    note(table, 'e1', 'active', 0);
    note(table, 'e2', 'active', 0);
    const { revision } = table.list(0);
    note(table, 'e1', 'active', 500);
    note(table, 'e2', 'active', 500);
    expect(table.list(500).revision).toBe(revision);
    note(table, 'e1', 'leaving', 600);
    expect(table.list(600)).toMatchObject({ revision: revision + 1, records: [{ id: 'e2' }] });
    expect(table.list(2_000)).toEqual({ revision: revision + 2, records: [] });
  });

  it('should be kept when a reply leaves it out, and taken anew from another leader', () => {
    const list = new EntryList();
    list.apply({ workersEpoch: 'x', entriesRevision: 7, entries: [makeRecord('e1')] });
    list.apply({ workersEpoch: 'x', entriesRevision: 7, entries: [] });
    expect(list.records).toHaveLength(1);
    list.apply({ workersEpoch: 'y', entriesRevision: 2, entries: [makeRecord('e1'), makeRecord('e2')] });
    expect([list.heldVersion, list.records.length])
      .toEqual([{ entriesEpoch: 'y', entriesRevision: 2 }, 2]);
  });

  /*
   * An entry that had left was named again: a question that the leader held was answered after the
   * one that told of the leaving.
   */
  it('should not go back when a reply was overtaken', () => {
    const list = new EntryList();
    list.apply({ workersEpoch: 'x', entriesRevision: 8, entries: [makeRecord('e2')] });
    list.apply({ workersEpoch: 'x', entriesRevision: 7, entries: [makeRecord('e1'), makeRecord('e2')] });
    expect(list.records).toHaveLength(1);
  });

  /*
   * After a change of leaders all callers were sent to one entry, which refused most: the new
   * leader had heard from that one alone and told its list of one.
   */
  it('should be kept while a new leader has not heard from all entries', () => {
    let now = 1_000;
    const clock = { now: () => now };
    const book = new LeaderBook({ clock, leaseMs: LEASE_MS, limitSlack: 0 });
    const list = new EntryList();
    list.apply({ workersEpoch: 'x', entriesRevision: 2, entries: [makeRecord('e1'), makeRecord('e2')] });
    const ask = () => list.apply({
      workersEpoch: 'y', ...book.buildListPart(list.heldVersion, 'y'),
    });
    book.noteEntry(WatchRequest.fromPartial({
      entryId: 'e1', callerAddress: 'e1:1', zone: 'a', state: 'active',
    }));
    ask();
    expect(list.records).toHaveLength(2);
    expect(book.buildListPart(new EntryList().heldVersion, 'y').entries).toHaveLength(1);
    now += 600;
    ask();
    expect(list.records.map(({ id }) => id)).toEqual(['e1']);
  });

  it('should name the caller\'s own availability zone when it has several entries', () => {
    const records = [makeRecord('e1'), makeRecord('e2'), makeRecord('e3', 'b')];
    expect(selectEntries(records, 'a', 64)).toEqual(['e1:1', 'e2:1']);
    expect(selectEntries(records, 'b', 64)).toHaveLength(3);
    expect(selectEntries(records, 'b', 2)).toHaveLength(2);
  });
});
