import { describe, expect, it } from 'vitest';
import { handleScheduleEvent } from '../../src/core/schedule/poolSchedule';
import type { ScheduleTables } from '../../src/core/schedule/scheduleTypes';
import {
  announce, ask, finish, listKinds, makeTables,
} from './scheduleModel';

const tick = (tables: ScheduleTables, now: number) => (
  handleScheduleEvent(tables, { kind: 'tick' }, now)
);

describe('a backend server that leaves', () => {
  /*
   * Guards against new requests to an engine that is shutting down: it announced to one entry VM
   * that it is leaving, but an earlier announcement to another entry reached the owner afterwards.
   */
  it('should not become ready through a reordered announcement', () => {
    const tables = makeTables();
    announce(tables, 'g1', 4, 0, { incarnation: 'first' });
    announce(tables, 'g1', 4, 100, { incarnation: 'first', state: 'leaving' });
    announce(tables, 'g1', 4, 110, { incarnation: 'first' });
    expect(ask(tables, 'a', 'door', 120)).toEqual([]);
    expect(listKinds(announce(tables, 'g1', 4, 200, { incarnation: 'second' }))).toEqual(['grant a']);
  });

  it('should become ready again when it keeps announcing it', () => {
    const tables = makeTables();
    announce(tables, 'g1', 4, 0, { state: 'leaving' });
    ask(tables, 'a', 'history', 0, { deadlineMs: 10_000 });
    expect(announce(tables, 'g1', 4, 4_900)).toEqual([]);
    expect(listKinds(announce(tables, 'g1', 4, 5_100))).toEqual(['grant a']);
  });
});

describe('a backend server that cannot be reached', () => {
  /*
   * Guards against requests that fail as "not run" because every announcement of an unreachable
   * engine assigned it all waiting requests. It must receive no requests during the pause, then one
   * probe, and its full load once the probe has arrived.
   */
  it('should get one probe after a pause, regardless of its announcements', () => {
    const tables = makeTables();
    announce(tables, 'g1', 4, 0);
    expect(listKinds(ask(tables, 'a', 'door', 0))).toEqual(['grant a']);
    expect(listKinds(finish(tables, 'a', 10, 0, 'unreachable'))).toEqual([]);
    ['a', 'b', 'c'].forEach((id) => expect(ask(tables, id, 'door', 20)).toEqual([]));
    expect(announce(tables, 'g1', 4, 400)).toEqual([]);
    expect(listKinds(tick(tables, 510))).toEqual(['grant a']);
    expect(announce(tables, 'g1', 4, 600)).toEqual([]);
    expect(listKinds(finish(tables, 'a', 700, 190))).toEqual(['grant b', 'grant c']);
  });

  /*
   * Each probe of an unreachable server costs a request one attempt, so the pauses double. Failures
   * of grants that were in flight at the same time count as one.
   */
  it('should be probed less and less often', () => {
    const tables = makeTables();
    announce(tables, 'g1', 4, 0);
    ['a', 'b', 'c'].forEach((id) => ask(tables, id, 'history', 0));
    ['a', 'b', 'c'].forEach((id) => finish(tables, id, 10, 0, 'unreachable'));
    ask(tables, 'd', 'history', 20);
    expect(listKinds(tick(tables, 510))).toEqual(['grant d']);
    finish(tables, 'd', 520, 0, 'unreachable');
    ask(tables, 'e', 'history', 530);
    expect(tick(tables, 1_500)).toEqual([]);
    expect(listKinds(tick(tables, 1_520))).toEqual(['grant e']);
  });

  /*
   * The other server is busy when the pause ends. A request that already failed at this server must
   * not spend its next attempt here; a request that has not may be the probe.
   */
  it('should not be tried twice by a request while another server serves its target', () => {
    const tables = makeTables();
    announce(tables, 'g1', 4, 0);
    ask(tables, 'a', 'history', 0);
    finish(tables, 'a', 10, 0, 'unreachable');
    announce(tables, 'g2', 1, 20);
    ask(tables, 'busy', 'history', 20);
    ask(tables, 'a', 'history', 30);
    expect(tick(tables, 600)).toEqual([]);
    expect(listKinds(ask(tables, 'b', 'history', 610, { account: 'b' }))).toEqual(['grant b']);
    expect(listKinds(finish(tables, 'busy', 620))).toEqual(['grant a']);
    expect(tables.running.get('a')?.workerId).toBe('g2');
  });

  /*
   * The engine was restarted at a reachable address. It must not wait for the end of the pause that
   * its earlier incarnation caused.
   */
  it('should be probed immediately after a restart', () => {
    const tables = makeTables();
    announce(tables, 'g1', 4, 0, { incarnation: 'first' });
    ask(tables, 'a', 'door', 0);
    finish(tables, 'a', 10, 0, 'unreachable');
    ask(tables, 'b', 'door', 20);
    expect(listKinds(announce(tables, 'g1', 4, 30, { incarnation: 'second' }))).toEqual(['grant b']);
  });
});
