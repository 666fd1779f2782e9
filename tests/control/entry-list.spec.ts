import { describe, expect, it } from 'vitest';
import { EntryTable } from '../../src/control/entryTable';
import { LeaderState } from '../../src/control/leaderState';
import { EntryList, selectEntries } from '../../src/core/routing/entryList';
import { EntryRecord, WatchRequest } from '../../src/protocol/generated/beechlift';

const LEASE_MS = 4_000;

const recordEntry = (table: EntryTable, entryId: string, state: string, now: number): void => {
  table.record(WatchRequest.fromPartial({
    entryId, callerAddress: `${entryId}:1`, zone: 'a', state,
  }), now);
};

const makeRecord = (id: string, zone = 'a'): EntryRecord => ({
  id, callerAddress: `${id}:1`, zone, state: 'active',
});

describe('the list of entries', () => {
  it('should change its revision only when an entry joins, leaves or times out', () => {
    const table = new EntryTable(LEASE_MS);
    recordEntry(table, 'e1', 'active', 0);
    recordEntry(table, 'e2', 'active', 0);
    const { revision } = table.listActive(0);
    recordEntry(table, 'e1', 'active', 500);
    recordEntry(table, 'e2', 'active', 500);
    expect(table.listActive(500).revision).toBe(revision);
    recordEntry(table, 'e1', 'leaving', 600);
    expect(table.listActive(600)).toMatchObject({ revision: revision + 1, records: [{ id: 'e2' }] });
    expect(table.listActive(2_000)).toEqual({ revision: revision + 2, records: [] });
  });

  // Fault: callers were sent to an entry that reached no server, or to none if no entry did.
  it('should leave out entries that are cut off from the servers, unless all are', () => {
    const table = new EntryTable(LEASE_MS);
    recordEntry(table, 'e1', 'cutOff', 0);
    recordEntry(table, 'e2', 'active', 0);
    expect(table.listActive(0).records.map(({ id }) => id)).toEqual(['e2']);
    recordEntry(table, 'e2', 'cutOff', 10);
    expect(table.listActive(10).records.map(({ id }) => id)).toEqual(['e1', 'e2']);
    recordEntry(table, 'e2', 'leaving', 20);
    expect(table.listActive(20).records.map(({ id }) => id)).toEqual(['e1']);
  });

  it('should be kept when a reply omits it, and replaced by the list of another leader', () => {
    const list = new EntryList();
    list.apply({ workersEpoch: 'x', entriesRevision: 7, entries: [makeRecord('e1')] });
    list.apply({ workersEpoch: 'x', entriesRevision: 7, entries: [] });
    expect(list.records).toHaveLength(1);
    list.apply({ workersEpoch: 'y', entriesRevision: 2, entries: [makeRecord('e1'), makeRecord('e2')] });
    expect([list.heldVersion, list.records.length])
      .toEqual([{ entriesEpoch: 'y', entriesRevision: 2 }, 2]);
  });

  /*
   * An entry that had left was listed again: the reply to a held watch request arrived after the
   * reply that removed the entry.
   */
  it('should not be reverted by a late reply', () => {
    const list = new EntryList();
    list.apply({ workersEpoch: 'x', entriesRevision: 8, entries: [makeRecord('e2')] });
    list.apply({ workersEpoch: 'x', entriesRevision: 7, entries: [makeRecord('e1'), makeRecord('e2')] });
    expect(list.records).toHaveLength(1);
  });

  /*
   * After a change of leaders all callers were sent to one entry, which refused most of them: the
   * new leader had received a request from this entry only, and published a list of one.
   */
  it('should be kept until all entries have contacted a new leader', () => {
    let now = 1_000;
    const clock = { now: () => now };
    const leaderState = new LeaderState({ clock, leaseMs: LEASE_MS, limitSlack: 0 });
    const list = new EntryList();
    list.apply({ workersEpoch: 'x', entriesRevision: 2, entries: [makeRecord('e1'), makeRecord('e2')] });
    const ask = () => list.apply({
      workersEpoch: 'y', ...leaderState.buildEntryListPart(list.heldVersion, 'y'),
    });
    leaderState.recordEntry(WatchRequest.fromPartial({
      entryId: 'e1', callerAddress: 'e1:1', zone: 'a', state: 'active',
    }));
    ask();
    expect(list.records).toHaveLength(2);
    expect(leaderState.buildEntryListPart(new EntryList().heldVersion, 'y').entries).toHaveLength(1);
    now += 600;
    ask();
    expect(list.records.map(({ id }) => id)).toEqual(['e1']);
  });

  it('should list only the availability zone of the caller if it has several entries', () => {
    const records = [makeRecord('e1'), makeRecord('e2'), makeRecord('e3', 'b')];
    expect(selectEntries(records, 'a', 64)).toEqual(['e1:1', 'e2:1']);
    expect(selectEntries(records, 'b', 64)).toHaveLength(3);
    expect(selectEntries(records, 'b', 2)).toHaveLength(2);
  });
});
