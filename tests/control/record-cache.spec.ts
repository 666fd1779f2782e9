import { setTimeout as pause } from 'node:timers/promises';
import { describe, expect, it } from 'vitest';
import { RecordCache } from '../../src/control/recordCache';
import { WorkerRegistry } from '../../src/control/workerRegistry';
import { WatchReply, WorkerRecord } from '../../src/protocol/generated/beechlift';
import { makeLogger } from '../../src/telemetry/logger';
import { HeldCalls } from '../../src/utils/heldCalls';
import { MemoryFileSystem } from '../fakes/memoryFileSystem';

/** Time in which a write to memory completes. */
const SETTLE_MS = 5;

/** Longer than the minimum time between two writes. */
const LATER_MS = 1_000;

const openCache = async <Item>(
  files: MemoryFileSystem,
  parse: (record: Partial<Item>) => Item,
): Promise<[RecordCache<Item>, Item[]]> => {
  const cache = new RecordCache<Item>({
    files, path: 'data/items.log', parse, logger: makeLogger('test', 'silent'),
  });
  return [cache, await cache.load()];
};

describe('the cache of records on disk', () => {
  // The table of another leader may have the same revision as the table that was written last.
  it('should be rewritten when the table of another leader has the same revision', async () => {
    const files = new MemoryFileSystem();
    const [cache] = await openCache<WorkerRecord>(files, WorkerRecord.fromPartial);
    let now = 0;
    const registry = new WorkerRegistry({
      cachedWorkers: [],
      workerCache: cache,
      clock: { now: () => now },
      logger: makeLogger('test', 'silent'),
      watches: new HeldCalls(),
      countEntries: () => 1,
    });
    const follow = async (workersEpoch: string, workerId: string): Promise<void> => {
      const announcement = { workerId, address: `${workerId}:80`, sequence: 1 };
      registry.applyReply(WatchReply.fromPartial({
        workersEpoch, workersRevision: 1, workers: [{ said: announcement, standing: 'ready' }],
      }));
      now += LATER_MS;
      registry.save();
      await pause(SETTLE_MS);
    };
    await follow('first', 'w1');
    await follow('second', 'w2');
    await cache.close();
    const [, records] = await openCache<WorkerRecord>(files, WorkerRecord.fromPartial);
    expect(records.map(({ said }) => said?.workerId)).toEqual(['w2']);
  });

  // Writes are rate-limited, and skipped when nothing changed.
  it('should be written once when nothing changed, and not again within the write interval', async () => {
    const files = new MemoryFileSystem();
    const [cache] = await openCache<object>(files, () => ({}));
    let writes = 0;
    const listItems = (): object[] => {
      writes += 1;
      return [];
    };
    cache.saveIfChanged('first/1', 0, listItems);
    await pause(SETTLE_MS);
    cache.saveIfChanged('first/1', LATER_MS, listItems);
    cache.saveIfChanged('first/2', 1, listItems);
    await cache.close();
    expect(writes).toBe(1);
  });
});
