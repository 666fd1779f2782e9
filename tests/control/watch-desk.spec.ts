import { setTimeout as pause } from 'node:timers/promises';
import { describe, expect, it } from 'vitest';
import { LeaderBook } from '../../src/control/leaderBook';
import { LeaderWait } from '../../src/control/leaderWait';
import { RecallWindow } from '../../src/control/recallWindow';
import { SuspectKeeper } from '../../src/control/suspectKeeper';
import { WatchDesk } from '../../src/control/watchDesk';
import { WorkerRegistry } from '../../src/control/workerRegistry';
import { WorkMeter } from '../../src/control/workMeter';
import { NO_DOCUMENT } from '../../src/core/routing/siteDocument';
import { WatchRequest } from '../../src/protocol/generated/beechlift';
import { makeLogger } from '../../src/telemetry/logger';
import { systemClock } from '../../src/utils/clock';
import { HeldCalls } from '../../src/utils/heldCalls';

const ENTRIES = 200;
/** A leader's heartbeats are due this often, in milliseconds. */
const BEAT_MS = 25;

const makeDesk = (watches: HeldCalls, noteAnswer: () => void) => {
  const logger = makeLogger('test', 'silent');
  const book = new LeaderBook({ clock: systemClock, leaseMs: 2_300, limitSlack: 0 });
  const registry = new WorkerRegistry({
    remembered: [],
    memo: { note: () => undefined },
    clock: systemClock,
    logger,
    watches,
    countEntries: () => ENTRIES,
  });
  const desk = new WatchDesk({
    registry,
    suspects: new SuspectKeeper({
      rememberedSuspects: [],
      suspectMemo: { note: () => undefined },
      clock: systemClock,
      logger,
      watches,
      countEntries: () => ENTRIES,
    }),
    recall: new RecallWindow(systemClock, false),
    watches,
    leaderWait: new LeaderWait(() => true),
    work: new WorkMeter(systemClock, logger, BEAT_MS),
    address: '10.0.0.1:7100',
    leaseMs: 2_300,
    readView: () => ({
      isLeading: true,
      otherLeader: '',
      // Read once for each answer, which takes its time.
      get replicaAddresses() {
        noteAnswer();
        return ['10.0.0.1:7100'];
      },
      site: NO_DOCUMENT,
      book,
    }),
  });
  return { desk, workersEpoch: registry.table.epoch };
};

describe('the desk where entries ask the leader', () => {
  /*
   * Four changes were accepted within half a second. With each, the leader answered two hundred
   * entries in one turn of its loop and sent no heartbeat meanwhile: two leaders were replaced in
   * one second, and callers had no engine.
   */
  it('should let the heartbeats of the leader go between its answers to many entries', async () => {
    const watches = new HeldCalls();
    let answers = 0;
    const { desk, workersEpoch } = makeDesk(watches, () => {
      answers += 1;
      const until = performance.now() + 2;
      while (performance.now() < until); // an answer on a part of a core
    });
    const waiting = Array.from({ length: ENTRIES }, (unused, position) => desk.watch(
      WatchRequest.fromPartial({
        entryId: `e${position}`, state: 'active', holdMs: 500, workersEpoch,
      }),
    ));
    let beatAt = performance.now();
    let mostSilentMs = 0;
    const beat = (): void => {
      mostSilentMs = Math.max(mostSilentMs, performance.now() - beatAt);
      beatAt = performance.now();
    };
    const beating = setInterval(beat, BEAT_MS);
    await pause(BEAT_MS);
    watches.release();
    await Promise.all(waiting);
    clearInterval(beating);
    beat();
    expect(answers).toBeGreaterThanOrEqual(ENTRIES);
    // Others take a leader for dead after 300 ms; all answers in one turn take 400.
    expect(mostSilentMs).toBeLessThan(200);
  });
});
