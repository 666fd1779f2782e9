import {
  afterEach, beforeEach, describe, expect, it, vi,
} from 'vitest';
import { AnnouncementStream } from '../../src/control/announcementStream';
import { WorkerAnnouncement } from '../../src/protocol/generated/beechlift';
import type { AnnounceBatch, AnnounceResults, SiteClient } from '../../src/protocol/generated/beechlift';
import { makeLogger } from '../../src/telemetry/logger';
import type { RpcLink, StreamListener } from '../../src/wire/rpcLink';

const makeAnnouncement = (workerId: string): WorkerAnnouncement => (
  WorkerAnnouncement.fromPartial({ workerId, state: 'ready' }));

describe('the stream of announcements to the leader', () => {
  let batches: AnnounceBatch[] = [];
  let listeners: StreamListener<AnnounceResults>[] = [];
  let replaceCount = 0;
  let announcements: AnnouncementStream;

  const link = {
    openStream: (unused: unknown, listener: StreamListener<AnnounceResults>) => {
      listeners.push(listener);
      return {
        write: (batch: AnnounceBatch) => batches.push(batch),
        cancel: () => undefined,
        replaceConnection: () => {
          replaceCount += 1;
        },
      };
    },
  } as unknown as RpcLink<SiteClient>;

  /** Announces servers; each result is undefined until it is there. */
  const announce = (ids: readonly string[], mayWait: boolean): (boolean | undefined)[] => {
    const results: (boolean | undefined)[] = ids.map(() => undefined);
    ids.forEach((id, index) => {
      announcements.announce(makeAnnouncement(id), mayWait)
        .then(({ taken }) => {
          results[index] = taken;
        }, () => undefined);
    });
    return results;
  };

  const listSent = (): string[][] => batches
    .map((batch) => batch.announcements.map(({ workerId }) => workerId));

  beforeEach(() => {
    vi.useFakeTimers();
    batches = [];
    listeners = [];
    replaceCount = 0;
    announcements = new AnnouncementStream({
      link, clock: { now: () => performance.now() }, logger: makeLogger('test', 'silent'),
    });
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  it('should gather announcements that may wait, for 100 ms', async () => {
    announce(['w1', 'w2'], true);
    await vi.advanceTimersByTimeAsync(99);
    expect(batches).toEqual([]);
    announce(['w3'], true);
    await vi.advanceTimersByTimeAsync(1);
    expect(listSent()).toEqual([['w1', 'w2', 'w3']]);
  });

  it('should send one that may not wait at once, with those that wait', async () => {
    announce(['w1'], true);
    announce(['w2'], false);
    await vi.advanceTimersByTimeAsync(1);
    expect(listSent()).toEqual([['w1', 'w2']]);
  });

  it('should settle each by its own result', async () => {
    const results = announce(['w1', 'w2', 'w3'], false);
    await vi.advanceTimersByTimeAsync(1);
    listeners[0]?.take({ taken: [3], refused: [1] });
    await vi.advanceTimersByTimeAsync(0);
    expect(results).toEqual([false, undefined, true]);
  });

  // An announcement that was not answered counted as taken, or kept its server waiting for good.
  it('should take none for granted that is not answered within 700 ms', async () => {
    const results = announce(['w1'], false);
    await vi.advanceTimersByTimeAsync(699);
    expect(results).toEqual([undefined]);
    await vi.advanceTimersByTimeAsync(1);
    expect(results).toEqual([false]);
  });

  it('should fail all that were sent when the stream breaks, and use a new one', async () => {
    const results = announce(['w1', 'w2'], false);
    await vi.advanceTimersByTimeAsync(1);
    listeners[0]?.close(new Error('reset'));
    await vi.advanceTimersByTimeAsync(0);
    expect(results).toEqual([false, false]);
    const later = announce(['w3'], false);
    await vi.advanceTimersByTimeAsync(1);
    listeners[1]?.take({ taken: [1], refused: [] });
    await vi.advanceTimersByTimeAsync(0);
    expect(later).toEqual([true]);
  });

  // A connection may stop carrying data for good while new ones work.
  it('should replace a connection on which no result arrives for a second', async () => {
    announce(['w1'], false);
    await vi.advanceTimersByTimeAsync(1_000);
    announce(['w2'], false);
    await vi.advanceTimersByTimeAsync(1);
    expect([replaceCount, listSent()]).toEqual([1, [['w1'], ['w2']]]);
  });

  // A leader that is only slow would have to accept another connection.
  it('should keep a connection on which results arrive', async () => {
    announce(['w1'], false);
    await vi.advanceTimersByTimeAsync(900);
    listeners[0]?.take({ taken: [1], refused: [] });
    announce(['w2'], false);
    await vi.advanceTimersByTimeAsync(900);
    announce(['w3'], false);
    await vi.advanceTimersByTimeAsync(1);
    expect([replaceCount, listSent()]).toEqual([0, [['w1'], ['w2'], ['w3']]]);
  });

  it('should take no more than a bounded number', async () => {
    const results = announce(Array.from({ length: 5_001 }, (unused, server) => `w${server}`), true);
    await vi.advanceTimersByTimeAsync(0);
    expect(results.filter((taken) => taken === false)).toHaveLength(1);
  });
});
