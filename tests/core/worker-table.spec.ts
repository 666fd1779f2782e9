import { describe, expect, it } from 'vitest';
import {
  adoptRecord, expireWorkers, listChangedWorkers, makeWorkerTable, applyAnnouncement,
  WORKER_TIMEOUT_MS,
} from '../../src/core/routing/workerTable';
import type { WorkerTable } from '../../src/core/routing/workerTable';
import { WorkerAnnouncement, WorkerRecord } from '../../src/protocol/generated/beechlift';

const say = (fields: Partial<WorkerAnnouncement>): WorkerAnnouncement => (
  WorkerAnnouncement.fromPartial({
    workerId: 'w1', service: 'rooms', address: '10.0.0.1:80', zone: 'a', slots: 6, state: 'ready', sequence: 1, ...fields,
  }));

const makeRecord = (fields: Partial<WorkerAnnouncement>, standing: string): WorkerRecord => (
  WorkerRecord.fromPartial({ said: say(fields), standing }));

const readStanding = (table: WorkerTable, id: string): string | undefined => (
  table.workers.get(id)?.standing
);

describe('the table of backend servers', () => {
  // Requests reach a server that has said it leaves: an announcement from before, held up on its
  // way, comes after the one that says so.
  it('should not take back that a server leaves for an announcement that was overtaken', () => {
    const table = makeWorkerTable('e');
    applyAnnouncement(table, say({ sequence: 3 }), 0);
    applyAnnouncement(table, say({ sequence: 5, state: 'draining' }), 10);
    applyAnnouncement(table, say({ sequence: 4 }), 20);
    expect(readStanding(table, 'w1')).toBe('draining');
  });

  it('should keep one that has left gone, whatever comes later', () => {
    const table = makeWorkerTable('e');
    applyAnnouncement(table, say({ sequence: 3 }), 0);
    applyAnnouncement(table, say({ state: 'gone', sequence: 0, address: '' }), 10);
    applyAnnouncement(table, say({ sequence: 9 }), 20);
    expect(readStanding(table, 'w1')).toBe('gone');
    expect(table.workers.get('w1')?.said.address).toBe('10.0.0.1:80');
  });

  // A server crashes behind a cut and another boot takes its address. When the cut heals, what the
  // dead one sent arrives and would take the address back.
  it('should leave an address to the newcomer when a dead server is heard again', () => {
    const table = makeWorkerTable('e');
    applyAnnouncement(table, say({ workerId: 'old', sequence: 7 }), 0);
    applyAnnouncement(table, say({ workerId: 'new' }), 10);
    applyAnnouncement(table, say({ workerId: 'old', sequence: 8 }), 20);
    expect(readStanding(table, 'old')).toBe('gone');
    expect(readStanding(table, 'new')).toBe('ready');
  });

  it('should set a silent server aside and take it back when it is heard', () => {
    const table = makeWorkerTable('e');
    applyAnnouncement(table, say({}), 0);
    expireWorkers(table, WORKER_TIMEOUT_MS + 1);
    expect(readStanding(table, 'w1')).toBe('silent');
    applyAnnouncement(table, say({ sequence: 9 }), WORKER_TIMEOUT_MS + 2);
    expect(readStanding(table, 'w1')).toBe('ready');
  });

  it('should forget what left long ago, its address included', () => {
    const table = makeWorkerTable('e');
    applyAnnouncement(table, say({}), 0);
    applyAnnouncement(table, say({ state: 'gone' }), 1);
    expireWorkers(table, 400_000);
    expect([table.workers.size, table.ownerIds.size]).toEqual([0, 0]);
  });

  it('should list what changed since a revision, and all of it to who counts in another table', () => {
    const table = makeWorkerTable('e');
    applyAnnouncement(table, say({}), 0);
    const { revision } = table;
    applyAnnouncement(table, say({ workerId: 'w2', address: '10.0.0.2:80' }), 0);
    applyAnnouncement(table, say({ sequence: 2 }), 1);
    expect(listChangedWorkers(table, 'e', revision).map(({ said }) => said?.workerId)).toEqual(['w2']);
    expect(listChangedWorkers(table, 'other', revision)).toHaveLength(2);
  });

  // A leader dies just after it acknowledged that a server leaves; the next one must know.
  it('should take over what another replica held, and not undo what it knows better', () => {
    const table = makeWorkerTable('e');
    applyAnnouncement(table, say({
      workerId: 'w2', address: '10.0.0.2:80', state: 'draining', sequence: 8,
    }), 0);
    adoptRecord(table, makeRecord({ state: 'draining', sequence: 4 }, 'draining'), 0);
    adoptRecord(table, makeRecord({ workerId: 'w2', address: '10.0.0.2:80', sequence: 7 }, 'ready'), 0);
    expect([readStanding(table, 'w1'), readStanding(table, 'w2')]).toEqual(['draining', 'draining']);
  });
});
