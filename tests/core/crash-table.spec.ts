import { describe, expect, it } from 'vitest';
import {
  findStage, hasUnsettledCrash, CRASH_GROUP_WINDOW_MS, makeCrashTable, recordCrash, recordServed,
} from '../../src/core/quarantine/crashTable';
import type { StageChange, SuspectStage } from '../../src/core/quarantine/crashTable';
import { expireSuspects, evaluateCrashes, recordAnnouncement } from '../../src/core/quarantine/crashEvaluation';
import { adoptSuspect, listSuspects } from '../../src/core/quarantine/suspectRecords';

const MINUTE_MS = 60_000;
const FATAL = 'fatal';

/** A crash table with a simulated clock. */
class TableRig {
  now = 0;

  table = makeCrashTable();

  private starts = 0;

  /** Crashes servers together, each under its requests, and evaluates after the group's window. */
  crash(...requestsPerServer: readonly (readonly string[])[]): StageChange[] {
    requestsPerServer.forEach((fingerprints) => {
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

  /** Replaces the leader by one that knows only the published list. */
  changeLeader(): void {
    const records = listSuspects(this.table, this.now);
    this.table = makeCrashTable();
    records.forEach((record) => adoptSuspect(this.table, record, this.now));
  }
}

const listNames = (count: number, prefix: string): string[] => (
  Array.from({ length: count }, (unused, position) => `${prefix}${position}`));

describe('table of requests under which servers crashed', () => {
  it('should watch a request after two crashes and refuse it after three, and no other request', () => {
    const rig = new TableRig();
    rig.crash([FATAL, ...listNames(6, 'a')]);
    expect(rig.read(FATAL)).toBe('noted');
    rig.crash([FATAL, 'a0', ...listNames(5, 'b')]);
    expect([rig.read(FATAL), rig.read('a0'), rig.read('b0')]).toEqual(['watched', 'watched', 'noted']);
    const changes = rig.crash([FATAL, 'b0', ...listNames(5, 'c')]);
    expect(changes.filter(({ kind }) => kind === 'refused').map(({ suspect }) => suspect.fingerprint))
      .toEqual([FATAL]);
    expect(['a0', 'b0', 'c0'].map((name) => rig.read(name))).toEqual(['watched', 'watched', 'noted']);
  });

  // Long requests, retried after each failure of a rack, must not be taken for its cause.
  it('should refuse no innocent request of a rack that fails three times', () => {
    const rig = new TableRig();
    const requestsPerServer = Array.from({ length: 4 }, (unused, server) => listNames(20, `${server}-`));
    const stages = [1, 2, 3].flatMap(() => {
      rig.crash(...requestsPerServer);
      rig.now += MINUTE_MS;
      return requestsPerServer.flat().map((name) => rig.read(name));
    });
    expect(stages.filter((stage) => stage !== 'noted')).toHaveLength(0);
  });

  // A frequent request is open at every server when a rack fails, but it is not the cause.
  it('should refuse no request for one crash group, and clear a frequent request that is served', () => {
    const rig = new TableRig();
    rig.crash(['popular'], ['popular'], ['popular'], ['popular']);
    expect(rig.read('popular')).toBe('watched');
    recordServed(rig.table, 'popular', rig.now);
    expect(rig.read('popular')).toBe('noted');
  });

  // Copies that run at the same time must not count as a single crash, or all servers could crash.
  it('should count each server that crashes under copies of one request', () => {
    const rig = new TableRig();
    rig.crash([FATAL, 'a'], [FATAL, 'b'], [FATAL, 'c']);
    expect(['a', 'b', 'c'].map((name) => rig.read(name))).toEqual(['noted', 'noted', 'noted']);
    rig.crash([FATAL]);
    expect(rig.read(FATAL)).toBe('refused');
  });

  it('should wait until it is known which servers crashed together', () => {
    const rig = new TableRig();
    rig.crash([FATAL]);
    rig.crash([FATAL]);
    recordCrash(rig.table, FATAL, 'late1', rig.now, rig.now);
    expect(hasUnsettledCrash(rig.table, FATAL)).toBe(true);
    recordCrash(rig.table, 'other', 'late2', rig.now + CRASH_GROUP_WINDOW_MS / 2, rig.now);
    rig.settle();
    expect(hasUnsettledCrash(rig.table, FATAL)).toBe(false);
    expect(rig.read(FATAL)).toBe('watched');
  });

  it('should count a crash once however often it is reported', () => {
    const rig = new TableRig();
    [1, 2, 3].forEach(() => {
      recordCrash(rig.table, FATAL, 's1', 0, rig.now);
      rig.settle();
    });
    expect(rig.read(FATAL)).toBe('noted');
  });

  it('should clear a request that is served', () => {
    const rig = new TableRig();
    rig.crash(['a']);
    rig.crash(['a']);
    expect(recordServed(rig.table, 'a', rig.now).map(({ kind }) => kind)).toEqual(['cleared']);
    rig.crash(['a']);
    expect(rig.read('a')).toBe('noted');
  });

  // Connections may be cut by the network or a proxy while the servers are still running.
  it('should withdraw a crash when its server goes on announcing itself, not for late announcements', () => {
    const rig = new TableRig();
    rig.crash(['a']);
    rig.crash(['a']);
    rig.crash(['a']);
    const announce = (server: string, ...sequences: number[]) => sequences.forEach((sequence) => {
      recordAnnouncement(rig.table, server, sequence, rig.now);
    });
    announce('s3', 1, 2, 3);
    rig.now += 1_000;
    announce('s3', 4, 4, 4, 5);
    expect(rig.read('a')).toBe('refused');
    announce('s3', 6);
    expect(rig.read('a')).toBe('watched');
    announce('s2', 1, 2, 3);
    announce('s1', 1, 2, 3);
    expect(rig.table.suspects.size).toBe(0);
  });

  it('should allow a request again after a time, and refuse it for longer after one more crash', () => {
    const rig = new TableRig();
    [1, 2, 3].forEach(() => rig.crash([FATAL]));
    rig.now += MINUTE_MS;
    expect(rig.read(FATAL)).toBe('watched');
    rig.crash([FATAL]);
    rig.now += 3 * MINUTE_MS;
    expect(rig.read(FATAL)).toBe('refused');
    rig.now += MINUTE_MS;
    expect(rig.read(FATAL)).toBe('watched');
  });

  // A flood of other suspects must not evict the request that crashes servers.
  it('should keep refused requests when other requests flood the table', () => {
    const rig = new TableRig();
    [1, 2, 3].forEach(() => rig.crash([FATAL]));
    listNames(40, 'flood').forEach((prefix) => rig.crash(listNames(256, `${prefix}-`)));
    expect(rig.table.suspects.size).toBeLessThanOrEqual(4_096);
    expect(rig.read(FATAL)).toBe('refused');
  });

  it('should limit the crashes that it keeps', () => {
    const rig = new TableRig();
    listNames(5_000, 'a').forEach((name) => rig.crash([name]));
    expect(rig.table.groupsByServer.size).toBeLessThanOrEqual(4_096);
  });

  // Entries must not go on watching a request that the leader no longer lists.
  it('should remove suspects without recent evidence, and report it', () => {
    const rig = new TableRig();
    rig.crash(['a', 'b']);
    rig.crash(['a']);
    const { revision } = rig.table;
    rig.now += 11 * MINUTE_MS;
    const changes = expireSuspects(rig.table, rig.now);
    expect(changes.map(({ kind, suspect }) => `${suspect.fingerprint} ${kind}`)).toEqual(['a cleared']);
    expect(rig.table.revision).toBeGreaterThan(revision);
    expect(rig.table.suspects.size + rig.table.groupsByServer.size).toBe(0);
  });

  // After a change of leader, a request must not be able to crash three more servers.
  it('should continue from the state of the earlier leader, and count no crash twice', () => {
    const rig = new TableRig();
    rig.crash([FATAL]);
    rig.crash([FATAL]);
    rig.changeLeader();
    ['s1', 's2'].forEach((server) => recordCrash(rig.table, FATAL, server, 0, rig.now));
    rig.settle();
    expect(rig.read(FATAL)).toBe('watched');
    rig.crash([FATAL]);
    expect(rig.read(FATAL)).toBe('refused');
    rig.changeLeader();
    expect(rig.read(FATAL)).toBe('refused');
  });
});
