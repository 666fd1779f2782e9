import { describe, expect, it } from 'vitest';
import { LearnerLog } from '../../src/control/learnerLog';
import { makeEmptyLog, makeLogState } from '../../src/core/log/logState';
import { makeResendTimer } from '../../src/core/log/resendTimer';
import type { Logger } from '../../src/telemetry/logger';

const LEARNER = { id: 'c2', address: 'c2', zone: '' };

describe('the log of learners', () => {
  it('should tell each second how far a learner has come', () => {
    const lines: unknown[] = [];
    const logger = { info: (message: string, fields: object) => lines.push([message, fields]) };
    const state = makeLogState('c1', makeEmptyLog({ voters: [], learners: [LEARNER], leaving: [] }), () => 0, 0);
    state.round = 9;
    state.peers.set('c2', {
      nextIndex: 8,
      matchIndex: 7,
      sentFrom: 1,
      sentIndex: 7,
      resend: makeResendTimer(),
      ackedRound: 6,
      snapshotOffset: -1,
      bytesSent: 5,
    });
    const clock = { time: 0, now: () => clock.time };
    const learnerLog = new LearnerLog(
      { state },
      { clock, logger: logger as unknown as Logger },
    );
    [0, 500, 1_000].forEach((time) => {
      clock.time = time;
      learnerLog.record();
    });
    const line = ['replica catches up', {
      replica: 'c2', matchIndex: 7, lastIndex: 0, snapshotOffset: -1, bytesSent: 5, unackedRounds: 3,
    }];
    expect(lines).toEqual([line, line]);
  });

  it('should tell nothing where all replicas vote', () => {
    const state = makeLogState('c1', makeEmptyLog({ voters: [LEARNER], learners: [], leaving: [] }), () => 0, 0);
    const learnerLog = new LearnerLog({ state }, {
      clock: { now: () => 0 },
      logger: { info: () => expect.unreachable() } as unknown as Logger,
    });
    learnerLog.record();
  });
});
