import { describe, expect, it } from 'vitest';
import { countTotals, listFaults } from './soakChecks';
import type { SoakRecords } from './soakChecks';
import { formatStream } from './soakRecords';
import type { Attempt, EntryStop } from './soakRecords';

const GRACE_MS = 8_000;
const LINES = ['entry shuts down', 'entry closes its connections', 'entry shut down']
  .map((message) => JSON.stringify({ level: 'info', message }));

const stop: EntryStop = {
  name: 'entry-4', at: 0, hadStarted: true, endedAt: 7_000, end: { code: 0, signal: null }, lines: LINES,
};

const whole: Attempt = {
  id: 'r0-1',
  request: {
    kind: 'stream', promptTokens: 40, outputTokens: 8, tellsTokens: true, limitMs: 12_000, bodyBytes: 40,
  },
  entry: 'entry-4',
  sentAt: 100,
  endedAt: 900,
  status: 200,
  body: formatStream('r0-1', 4),
  reason: '',
};

const makeRecords = (
  attempt: Partial<Attempt>,
  runEnds: readonly number[],
  changes: Partial<EntryStop> = {},
): SoakRecords => ({
  graceMs: GRACE_MS,
  attempts: [{ ...whole, ...attempt }],
  runs: new Map([['r0-1', runEnds.map((endedAt) => ({ id: 'r0-1', startedAt: 150, endedAt }))]]),
  stops: [{ ...stop, ...changes }],
  changes: [],
  oddities: [],
});

const cut = { body: formatStream('r0-1', 2), reason: 'aborted' };
const refused = { status: 503, body: '{}' };
const unanswered = { status: 0, body: '', reason: 'socket hang up' };

describe('checks of a soak', () => {
  // Guards against a check that no run could fail.
  it.each([
    ['was run, and its caller got no whole answer', makeRecords(cut, [900])],
    ['was run, and its caller got no whole answer', makeRecords({ ...cut, sentAt: 3_001, endedAt: 7_600 }, [7_600])],
    ['was run, and its caller got no whole answer', makeRecords({ ...cut, endedAt: 6_600 }, [6_600])],
    ['was read, and got no whole answer or refusal', makeRecords({ ...unanswered, endedAt: 1_200 }, [])],
    ['was read, and got no whole answer or refusal', makeRecords(cut, [])],
    ['was refused as not run, and was run', makeRecords(refused, [800])],
    ['may be run once, and was run again', makeRecords({}, [500, 800])],
    ['has a part of an answer framed as a whole one', makeRecords({ body: formatStream('r0-1', 2) }, [])],
    ['let its caller wait beyond its time limit', makeRecords({ endedAt: 13_101 }, [13_101])],
    ['did not end by itself', makeRecords({}, [800], { end: { code: null, signal: 'SIGKILL' } })],
    ['did not end by itself', makeRecords({}, [800], { end: { code: 1, signal: null } })],
    ['did not write the lines', makeRecords({}, [800], { lines: LINES.slice(1) })],
  ])('should find that something %s (%#)', (name, records) => {
    expect(listFaults(records).filter((fault) => fault.includes(name))).toHaveLength(1);
  });

  it.each([
    ['complete', makeRecords({}, [800])],
    ['refused', makeRecords(refused, [])],
    ['timedOut', makeRecords({ ...cut, endedAt: 12_100 }, [12_100])],
    ['unanswered', makeRecords(unanswered, [])],
    ['notConnected', makeRecords({ ...unanswered, reason: 'connect ECONNREFUSED' }, [])],
    ['cutExcused', makeRecords({ ...cut, sentAt: 3_000, endedAt: 7_600 }, [6_667])],
  ])('should allow a request that is %s', (name, records) => {
    expect(listFaults(records)).toEqual([]);
    expect(countTotals(records)[name]).toBe(1);
  });
});
