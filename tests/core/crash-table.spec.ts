import { describe, expect, it } from 'vitest';
import {
  findStage, hasUnsettledCrash, CRASH_GROUP_WINDOW_MS, makeCrashTable, recordCrash, recordServed,
} from '../../src/core/quarantine/crashTable';
import type { StageChange, SuspectStage } from '../../src/core/quarantine/crashTable';
import { expireSuspects, evaluateCrashes, recordAnnouncement } from '../../src/core/quarantine/crashEvaluation';
import { adoptSuspect, listSuspects } from '../../src/core/quarantine/suspectRecords';

const MINUTE_MS = 60_000;
const FATAL = 'fatal';

/** A table under a clock of the test. */
class TableRig {
  now = 0;

  table = makeCrashTable();

  private starts = 0;

  /** Lets servers end together, each under its requests, and judges once that is no longer news. */
  end(...underEach: readonly (readonly string[])[]): StageChange[] {
    underEach.forEach((fingerprints) => {
      this.starts += 1;
      fingerprints.forEach((fingerprint) => (
        recordCrash(this.table, fingerprint, `s${this.starts}`, this.now, this.now)));
    });
    return this.settle();
  }

  settle(): StageChange[] {
    this.now += 2 * CRASH_GROUP_WINDOW_MS;
    return evaluateCrashes(this.table, this.now);
  }

  read(fingerprint: string): SuspectStage {
    return findStage(this.table, fingerprint, this.now);
  }

  /** Lets a leader take over that knows what entries are told. */
  changeLeader(): void {
    const records = listSuspects(this.table, this.now);
    this.table = makeCrashTable();
    records.forEach((record) => adoptSuspect(this.table, record, this.now));
  }
}

const list = (count: number, prefix: string): string[] => (
  Array.from({ length: count }, (unused, position) => `${prefix}${position}`));

describe('the table of requests under which servers ended', () => {
  it('should watch a request after two ends and refuse it after three, and nobody beside it', () => {
    const rig = new TableRig();
    rig.end([FATAL, ...list(6, 'a')]);
    expect(rig.read(FATAL)).toBe('noted');
    rig.end([FATAL, 'a0', ...list(5, 'b')]);
    expect([rig.read(FATAL), rig.read('a0'), rig.read('b0')]).toEqual(['watched', 'watched', 'noted']);
    const changes = rig.end([FATAL, 'b0', ...list(5, 'c')]);
    expect(changes.filter(({ kind }) => kind === 'refused').map(({ suspect }) => suspect.fingerprint))
      .toEqual([FATAL]);
    expect(['a0', 'b0', 'c0'].map((name) => rig.read(name))).toEqual(['watched', 'watched', 'noted']);
  });

  // Guards long requests, repeated each time a rack fails, against being taken for the cause.
  it('should refuse none of the honest requests of a rack that fails three times', () => {
    const rig = new TableRig();
    const underEach = Array.from({ length: 4 }, (unused, server) => list(20, `${server}-`));
    const stages = [1, 2, 3].flatMap(() => {
      rig.end(...underEach);
      rig.now += MINUTE_MS;
      return underEach.flat().map((name) => rig.read(name));
    });
    expect(stages.filter((stage) => stage !== 'noted')).toHaveLength(0);
  });

  // Guards a popular request, which is under every server when a rack fails, against the same.
  it('should refuse nobody for one moment, and clear a popular request that is served', () => {
    const rig = new TableRig();
    rig.end(['popular'], ['popular'], ['popular'], ['popular']);
    expect(rig.read('popular')).toBe('watched');
    recordServed(rig.table, 'popular', rig.now);
    expect(rig.read('popular')).toBe('noted');
  });

  // Guards against copies that run at the same time, and would end all servers for one of three.
  it('should count each server that ends under copies of one request', () => {
    const rig = new TableRig();
    rig.end([FATAL, 'a'], [FATAL, 'b'], [FATAL, 'c']);
    expect(['a', 'b', 'c'].map((name) => rig.read(name))).toEqual(['noted', 'noted', 'noted']);
    rig.end([FATAL]);
    expect(rig.read(FATAL)).toBe('refused');
  });

  it('should wait until it is known which servers ended together', () => {
    const rig = new TableRig();
    rig.end([FATAL]);
    rig.end([FATAL]);
    recordCrash(rig.table, FATAL, 'late1', rig.now, rig.now);
    expect(hasUnsettledCrash(rig.table, FATAL)).toBe(true);
    recordCrash(rig.table, 'other', 'late2', rig.now + CRASH_GROUP_WINDOW_MS / 2, rig.now);
    rig.settle();
    expect(hasUnsettledCrash(rig.table, FATAL)).toBe(false);
    expect(rig.read(FATAL)).toBe('watched');
  });

  it('should count one end however often it is told', () => {
    const rig = new TableRig();
    [1, 2, 3].forEach(() => {
      recordCrash(rig.table, FATAL, 's1', 0, rig.now);
      rig.settle();
    });
    expect(rig.read(FATAL)).toBe('noted');
  });

  it('should clear a request that is served', () => {
    const rig = new TableRig();
    rig.end(['a']);
    rig.end(['a']);
    expect(recordServed(rig.table, 'a', rig.now).map(({ kind }) => kind)).toEqual(['cleared']);
    rig.end(['a']);
    expect(rig.read('a')).toBe('noted');
  });

  // Guards a request whose connections were cut, by a network or a proxy, while its servers live.
  it('should take an end back when its server goes on announcing itself, not by late news', () => {
    const rig = new TableRig();
    rig.end(['a']);
    rig.end(['a']);
    rig.end(['a']);
    const sayAlive = (server: string, ...sequences: number[]) => sequences.forEach((sequence) => {
      recordAnnouncement(rig.table, server, sequence, rig.now);
    });
    sayAlive('s3', 1, 2, 3);
    rig.now += 1_000;
    sayAlive('s3', 4, 4, 4, 5);
    expect(rig.read('a')).toBe('refused');
    sayAlive('s3', 6);
    expect(rig.read('a')).toBe('watched');
    sayAlive('s2', 1, 2, 3);
    sayAlive('s1', 1, 2, 3);
    expect(rig.table.suspects.size).toBe(0);
  });

  it('should let it be tried after a time, and refuse it for longer after one more end', () => {
    const rig = new TableRig();
    [1, 2, 3].forEach(() => rig.end([FATAL]));
    rig.now += MINUTE_MS;
    expect(rig.read(FATAL)).toBe('watched');
    rig.end([FATAL]);
    rig.now += 3 * MINUTE_MS;
    expect(rig.read(FATAL)).toBe('refused');
    rig.now += MINUTE_MS;
    expect(rig.read(FATAL)).toBe('watched');
  });

  // Guards servers against a flood of requests by which the one that ends them is forgotten.
  it('should keep what is refused when other requests flood the table', () => {
    const rig = new TableRig();
    [1, 2, 3].forEach(() => rig.end([FATAL]));
    list(40, 'flood').forEach((prefix) => rig.end(list(256, `${prefix}-`)));
    expect(rig.table.suspects.size).toBeLessThanOrEqual(4_096);
    expect(rig.read(FATAL)).toBe('refused');
  });

  it('should bound the ends that it keeps', () => {
    const rig = new TableRig();
    list(5_000, 'a').forEach((name) => rig.end([name]));
    expect(rig.table.groupsByServer.size).toBeLessThanOrEqual(4_096);
  });

  // Guards against entries that go on watching a request which the leader has forgotten.
  it('should forget what nothing is heard against for long, and tell so', () => {
    const rig = new TableRig();
    rig.end(['a', 'b']);
    rig.end(['a']);
    const { revision } = rig.table;
    rig.now += 11 * MINUTE_MS;
    const changes = expireSuspects(rig.table, rig.now);
    expect(changes.map(({ kind, suspect }) => `${suspect.fingerprint} ${kind}`)).toEqual(['a cleared']);
    expect(rig.table.revision).toBeGreaterThan(revision);
    expect(rig.table.suspects.size + rig.table.groupsByServer.size).toBe(0);
  });

  // Guards against a change of leaders that gives a request three more servers to end.
  it('should go on where the leader before was, and count no end twice', () => {
    const rig = new TableRig();
    rig.end([FATAL]);
    rig.end([FATAL]);
    rig.changeLeader();
    ['s1', 's2'].forEach((server) => recordCrash(rig.table, FATAL, server, 0, rig.now));
    rig.settle();
    expect(rig.read(FATAL)).toBe('watched');
    rig.end([FATAL]);
    expect(rig.read(FATAL)).toBe('refused');
    rig.changeLeader();
    expect(rig.read(FATAL)).toBe('refused');
  });
});
