import { describe, expect, it } from 'vitest';
import { LeaseLog } from '../../src/control/leaseLog';
import type { LogRunner } from '../../src/control/logRunner';
import type { Logger } from '../../src/telemetry/logger';

describe('the log of the leader lease', () => {
  it('should log each change once, with the time since the last one', () => {
    const lines: unknown[] = [];
    const logger = { info: (message: string, fields: object) => lines.push([message, fields]) };
    const state = { role: 'leader', term: 4, commitIndex: 9 } as LogRunner<true>['state'];
    const runner = { holdsLease: false, state };
    const clock = { time: 100, now: () => clock.time };
    const leaseLog = new LeaseLog(runner, { clock, logger: logger as unknown as Logger });
    const record = (holdsLease: boolean, time: number): void => {
      runner.holdsLease = holdsLease;
      clock.time = time;
      leaseLog.record();
    };
    record(false, 200);
    record(true, 400);
    record(true, 600);
    record(false, 1_000);
    expect(lines).toEqual([
      ['leader lease gained', {
        role: 'leader', term: 4, commitIndex: 9, afterMs: 300,
      }],
      ['leader lease lost', {
        role: 'leader', term: 4, commitIndex: 9, afterMs: 600,
      }],
    ]);
  });
});
