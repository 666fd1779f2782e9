import {
  afterEach, beforeEach, describe, expect, it, vi,
} from 'vitest';
import { WorkerRegistry } from '../../src/control/workerRegistry';
import { WorkerAnnouncement } from '../../src/protocol/generated/beechlift';
import { makeLogger } from '../../src/telemetry/logger';
import { HeldCalls } from '../../src/utils/heldCalls';

const SERVERS = 100;
const ENTRIES = 200;

const announce = (registry: WorkerRegistry, position: number): void => (
  registry.applyAnnouncement(WorkerAnnouncement.fromPartial({
    workerId: `w${position}`, service: 'm', address: `10.0.0.${position}:80`, zone: 'a', slots: 6, state: 'ready', sequence: 1,
  })));

describe('updates on backend servers', () => {
  beforeEach(() => {
    vi.useFakeTimers();
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  const countAnswers = async (entries: number): Promise<number> => {
    const watches = new HeldCalls();
    const registry = new WorkerRegistry({
      cachedWorkers: [],
      workerCache: { saveIfChanged: () => undefined },
      clock: { now: () => performance.now() },
      logger: makeLogger('test', 'silent'),
      watches,
      countEntries: () => entries,
    });
    let answers = 0;
    const watch = (): Promise<void> => watches.hold(1_000).then(() => {
      answers += 1;
      return watch();
    });
    Array.from({ length: entries }).forEach(() => watch().catch(() => undefined));
    const positions = Array.from({ length: SERVERS }, (unused, position) => position);
    await positions.reduce<Promise<void>>(async (before, position) => {
      await before;
      announce(registry, position);
      await vi.advanceTimersByTimeAsync(10);
    }, Promise.resolve());
    return answers;
  };

  /*
   * When power returns, a hundred servers announce themselves within a second while two hundred
   * entries send watch requests to the new leader. It answered all entries twenty times, and these
   * 4,000 replies delayed those to the operator and the other replicas too much.
   */
  it('should cost a leader of many entries a bounded number of replies', async () => {
    expect(await countAnswers(ENTRIES)).toBeLessThanOrEqual(1_000);
  });

  it('should reach the entries of a small site within 50 ms', async () => {
    expect(await countAnswers(8)).toBeGreaterThanOrEqual(8 * 16);
  });
});
