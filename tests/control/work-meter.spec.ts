import { describe, expect, it } from 'vitest';
import { WorkMeter } from '../../src/control/workMeter';
import type { Logger } from '../../src/telemetry/logger';

describe('the work of a leader', () => {
  it('should be logged by kind since the last log line, with the longest delay', () => {
    let now = 0;
    const lines: object[] = [];
    const logger = {
      info: (message: string, fields: object) => lines.push(fields),
    } as unknown as Logger;
    const meter = new WorkMeter({ now: () => now }, logger, 25, () => now / 10);
    const advance = (ms: number) => meter.measure('watch', () => {
      now += ms;
    });
    advance(7);
    advance(5);
    meter.measure('step', () => {
      now += 2;
    });
    meter.recordWatchTurn(900, true);
    meter.recordWatchTurn(20, false);
    now = 3_000;
    meter.recordTick(true);
    now = 5_000;
    meter.recordTick(false);
    meter.logCounts();
    advance(3);
    meter.logCounts();
    now = 10_000;
    meter.logCounts();
    expect(lines).toMatchObject([
      {
        watchCount: 2,
        watchMs: 12,
        placeCount: 0,
        stepCount: 1,
        stepMs: 2,
        mostLateMs: 2_975,
        leasedMs: 3_000,
        mostWatchWaitMs: 900,
        unreadCount: 1,
        processorMs: 500,
        elapsedMs: 5_000,
      },
      {
        watchCount: 1, watchMs: 3, mostLateMs: 0, mostWatchWaitMs: 0, unreadCount: 0,
      },
    ]);
    expect(meter.read().watch).toEqual({ count: 3, ms: 15 });
  });
});
