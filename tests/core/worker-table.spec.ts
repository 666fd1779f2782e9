import { describe, expect, it } from 'vitest';
import { adoptRecord, listChangedWorkers } from '../../src/core/routing/workerRecords';
import {
  ADDRESS_RELEASE_MS, applyAnnouncement, expireWorkers, makeWorkerTable, WORKER_TIMEOUT_MS,
} from '../../src/core/routing/workerTable';
import type { WorkerTable } from '../../src/core/routing/workerTable';
import { WorkerAnnouncement, WorkerRecord } from '../../src/protocol/generated/beechlift';

const makeAnnouncement = (fields: Partial<WorkerAnnouncement>): WorkerAnnouncement => (
  WorkerAnnouncement.fromPartial({
    workerId: 'w1', service: 'rooms', address: '10.0.0.1:80', zone: 'a', slots: 6, state: 'ready', sequence: 1, ...fields,
  }));

const makeRecord = (fields: Partial<WorkerAnnouncement>, standing: string): WorkerRecord => (
  WorkerRecord.fromPartial({ said: makeAnnouncement(fields), standing }));

const readStanding = (table: WorkerTable, id: string): string | undefined => (
  table.workers.get(id)?.standing
);

describe('table of backend servers', () => {
  // An earlier announcement may be delayed and arrive after the one that reports draining. Requests
  // must not reach the server any more.
  it('should keep a server draining when an announcement arrives that was overtaken', () => {
    const table = makeWorkerTable('e');
    applyAnnouncement(table, makeAnnouncement({ sequence: 3 }), 0);
    applyAnnouncement(table, makeAnnouncement({ sequence: 5, state: 'draining' }), 10);
    applyAnnouncement(table, makeAnnouncement({ sequence: 4 }), 20);
    expect(readStanding(table, 'w1')).toBe('draining');
  });

  it('should keep a deregistered server gone despite later announcements', () => {
    const table = makeWorkerTable('e');
    applyAnnouncement(table, makeAnnouncement({ sequence: 3 }), 0);
    applyAnnouncement(table, makeAnnouncement({ state: 'gone', sequence: 0, address: '' }), 10);
    applyAnnouncement(table, makeAnnouncement({ sequence: 9 }), 20);
    expect(readStanding(table, 'w1')).toBe('gone');
    expect(table.workers.get('w1')?.said.address).toBe('10.0.0.1:80');
  });

  // A server crashes during a network partition and a new server takes its address. When the
  // partition heals, delayed announcements of the old server must not take the address back.
  it('should leave an address to the new server when the old one is heard from again', () => {
    const table = makeWorkerTable('e');
    applyAnnouncement(table, makeAnnouncement({ workerId: 'old', sequence: 7 }), 0);
    applyAnnouncement(table, makeAnnouncement({ workerId: 'new' }), ADDRESS_RELEASE_MS);
    applyAnnouncement(table, makeAnnouncement({ workerId: 'old', sequence: 8 }), ADDRESS_RELEASE_MS + 10);
    expect(readStanding(table, 'old')).toBe('silent');
    expect(readStanding(table, 'new')).toBe('ready');
    applyAnnouncement(table, makeAnnouncement({ workerId: 'new', sequence: 2 }), 61_000);
    expireWorkers(table, 61_000);
    applyAnnouncement(table, makeAnnouncement({ workerId: 'old', sequence: 9 }), 64_000);
    expect([readStanding(table, 'old'), readStanding(table, 'new')]).toEqual(['gone', 'ready']);
  });

  // The late heartbeat of a boot that control had never heard of took the address of the server
  // that ran there, which got no requests any more for good.
  it('should leave an address to its server when an unknown one is heard late', () => {
    const table = makeWorkerTable('e');
    applyAnnouncement(table, makeAnnouncement({ workerId: 'new', sequence: 7 }), 0);
    ['ready', 'draining'].forEach((state) => (
      applyAnnouncement(table, makeAnnouncement({ workerId: 'old', state }), 1_200)));
    expect([readStanding(table, 'old'), readStanding(table, 'new')]).toEqual([undefined, 'ready']);
  });

  // Guards against the same while the announcements of the server that runs are late themselves.
  it('should give an address back to its server once a late one is silent', () => {
    const table = makeWorkerTable('e');
    applyAnnouncement(table, makeAnnouncement({ workerId: 'new', sequence: 7 }), 0);
    applyAnnouncement(table, makeAnnouncement({ workerId: 'old' }), 2_500);
    expect([readStanding(table, 'old'), readStanding(table, 'new')]).toEqual(['ready', 'silent']);
    [3_000, 4_200, 5_400].forEach((now, position) => (
      applyAnnouncement(table, makeAnnouncement({ workerId: 'new', sequence: 8 + position }), now)));
    expect([readStanding(table, 'old'), readStanding(table, 'new')]).toEqual(['silent', 'ready']);
    expireWorkers(table, 63_000);
    expect(readStanding(table, 'old')).toBe('gone');
  });

  it('should let a server use the address of one that has crashed', () => {
    const table = makeWorkerTable('e');
    applyAnnouncement(table, makeAnnouncement({ workerId: 'old', sequence: 7 }), 0);
    [1_200, 2_400].forEach((now, position) => (
      applyAnnouncement(table, makeAnnouncement({ workerId: 'new', sequence: 1 + position }), now)));
    expect([readStanding(table, 'old'), readStanding(table, 'new')]).toEqual(['silent', 'ready']);
  });

  it.each([['ready first', ['ready', 'silent']], ['silent first', ['silent', 'ready']]])('should copy which server uses an address: %s', (name, standings) => {
    const table = makeWorkerTable('e');
    standings.forEach((standing) => (
      adoptRecord(table, makeRecord({ workerId: standing }, standing), 0)));
    expect([...table.ownerIds.values()]).toEqual(['ready']);
  });

  it('should mark a server as silent after its timeout and as ready at its next announcement', () => {
    const table = makeWorkerTable('e');
    applyAnnouncement(table, makeAnnouncement({}), 0);
    expireWorkers(table, WORKER_TIMEOUT_MS + 1);
    expect(readStanding(table, 'w1')).toBe('silent');
    applyAnnouncement(table, makeAnnouncement({ sequence: 9 }), WORKER_TIMEOUT_MS + 2);
    expect(readStanding(table, 'w1')).toBe('ready');
  });

  it('should remove a server that left long ago, including its address', () => {
    const table = makeWorkerTable('e');
    applyAnnouncement(table, makeAnnouncement({}), 0);
    applyAnnouncement(table, makeAnnouncement({ state: 'gone' }), 1);
    expireWorkers(table, 400_000);
    expect([table.workers.size, table.ownerIds.size]).toEqual([0, 0]);
  });

  it('should list changes since a revision, and everything for a revision of another table', () => {
    const table = makeWorkerTable('e');
    applyAnnouncement(table, makeAnnouncement({}), 0);
    const { revision } = table;
    applyAnnouncement(table, makeAnnouncement({ workerId: 'w2', address: '10.0.0.2:80' }), 0);
    applyAnnouncement(table, makeAnnouncement({ sequence: 2 }), 1);
    expect(listChangedWorkers(table, 'e', revision).map(({ said }) => said?.workerId)).toEqual(['w2']);
    expect(listChangedWorkers(table, 'other', revision)).toHaveLength(2);
  });

  // A leader may crash just after acknowledging that a server is leaving; the next must know it.
  it('should adopt the records of another replica, except older ones', () => {
    const table = makeWorkerTable('e');
    applyAnnouncement(table, makeAnnouncement({
      workerId: 'w2', address: '10.0.0.2:80', state: 'draining', sequence: 8,
    }), 0);
    adoptRecord(table, makeRecord({ state: 'draining', sequence: 4 }, 'draining'), 0);
    adoptRecord(table, makeRecord({ workerId: 'w2', address: '10.0.0.2:80', sequence: 7 }, 'ready'), 0);
    expect([readStanding(table, 'w1'), readStanding(table, 'w2')]).toEqual(['draining', 'draining']);
  });
});
