import { describe, expect, it } from 'vitest';
import { evaluateCrashes } from '../../src/core/quarantine/crashEvaluation';
import {
  CRASH_GROUP_WINDOW_MS, findStage, makeCrashTable, recordCrash, recordServed,
} from '../../src/core/quarantine/crashTable';
import { formatPartKey } from '../../src/core/quarantine/promptPart';
import { listSuspects } from '../../src/core/quarantine/suspectRecords';

const [FIRST, BAD] = ['f00d', 'bad0'].map((part) => formatPartKey('rooms', part)) as [string, string];
const GAP_MS = 2 * CRASH_GROUP_WINDOW_MS;

/** Crashes one server after the other under requests with both parts, beside an honest request. */
const crashServers = (count: number, beside: readonly string[] = []) => {
  const table = makeCrashTable();
  Array.from({ length: count }, (unused, position) => position).forEach((position) => {
    const at = position * GAP_MS;
    [`request ${position}`, FIRST, BAD, ...beside]
      .forEach((key) => recordCrash(table, key, `w${position}@0`, at, at));
    evaluateCrashes(table, at + CRASH_GROUP_WINDOW_MS + 1);
  });
  return { table, now: count * GAP_MS };
};

describe('parts of prompts as suspects', () => {
  it('should be refused once three servers crashed one after the other, the last part first', () => {
    const { table, now } = crashServers(3);
    expect([BAD, FIRST].map((key) => findStage(table, key, now))).toEqual(['refused', 'noted']);
  });

  // Honest requests that shared servers with the part were quarantined themselves.
  it('should explain the crashes of all that was open beside them', () => {
    const { table, now } = crashServers(3, ['honest']);
    expect([...table.suspects.keys()]).toEqual([BAD]);
    expect(findStage(table, 'honest', now)).toBe('noted');
  });

  // An honest part may not be held up: a request that is watched runs one copy at a time.
  it('should be treated like any other until they are refused, and be told to entries', () => {
    const { table, now } = crashServers(2);
    expect([BAD, FIRST].map((key) => findStage(table, key, now))).toEqual(['noted', 'noted']);
    expect(listSuspects(table, now).map(({ fingerprint }) => fingerprint).sort())
      .toEqual([BAD, FIRST].sort());
  });

  it('should be cleared by the first answer', () => {
    const { table, now } = crashServers(2);
    expect(recordServed(table, FIRST, now).map(({ kind }) => kind)).toEqual(['cleared']);
    expect(listSuspects(table, now).map(({ fingerprint }) => fingerprint)).toEqual([BAD]);
  });

  it('should not be refused for servers that crash at the same moment', () => {
    const table = makeCrashTable();
    ['w1@0', 'w2@0', 'w3@0', 'w4@0'].forEach((server) => recordCrash(table, FIRST, server, 0, 0));
    evaluateCrashes(table, GAP_MS);
    expect(findStage(table, FIRST, GAP_MS)).toBe('noted');
  });

  it('should be separate for each service', () => {
    expect(formatPartKey('rooms', 'bad0')).not.toBe(formatPartKey('lobby', 'bad0'));
  });
});
