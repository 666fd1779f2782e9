import { setImmediate as immediate, setTimeout as pause } from 'node:timers/promises';
import {
  beforeEach, describe, expect, it,
} from 'vitest';
import { TrunkReceiver } from '../../src/control/trunkReceiver';
import { EntryNews, HubNews, PlaceNews } from '../../src/protocol/generated/beechlift';
import type { HubDecisions } from '../../src/protocol/generated/beechlift';
import { makeLogger } from '../../src/telemetry/logger';

const ITEMS = 50;

const makeItem = (stream: number, number: number): EntryNews => (
  EntryNews.fromPartial({ stream, message: PlaceNews.fromPartial({ number }) }));

/** Makes a message of a hub with one item of each of some streams. */
const makeMessage = (number: number, streams: number): HubNews => HubNews.fromPartial({
  news: Array.from({ length: streams }, (unused, stream) => makeItem(stream, number)),
});

describe('the placement streams that a replica passes on to the leader', () => {
  let now = 0;
  let taken: string[] = [];
  let closed: number[] = [];
  let sent: HubDecisions[] = [];
  let isEnded = false;
  let receiver: TrunkReceiver;

  beforeEach(() => {
    now = 0;
    taken = [];
    closed = [];
    sent = [];
    isEnded = false;
    let opened = 0;
    receiver = new TrunkReceiver({
      stream: {
        send: (message) => sent.push(message),
        end: () => {
          isEnded = true;
        },
      },
      // Each message takes a millisecond.
      openStream: () => {
        const stream = opened;
        opened += 1;
        return {
          take: ({ number }) => {
            now += 1;
            if (number === 13) throw new Error('message 13');
            taken.push(`${stream}/${number}`);
          },
          close: () => closed.push(stream),
        };
      },
      clock: { now: () => now },
      logger: makeLogger('test', 'silent'),
    });
  });

  const runTurns = async (count: number): Promise<void> => {
    await Array.from({ length: count }).reduce<Promise<void>>(async (before) => {
      await before;
      await immediate();
    }, Promise.resolve());
  };

  // A burst was placed as a whole before the leader read anything else: it lost its lease, and
  // entries lost theirs and refused callers.
  it('should leave the leader time for other input between them', async () => {
    receiver.take(makeMessage(1, ITEMS));
    await runTurns(2);
    expect(taken.length).toBeLessThanOrEqual(4);
    await runTurns(ITEMS);
    expect(taken).toEqual(Array.from({ length: ITEMS }, (unused, stream) => `${stream}/1`));
  });

  it('should be handled in order, and counted once they are handled', async () => {
    receiver.take(makeMessage(1, 3));
    receiver.take(makeMessage(2, 3));
    expect(sent).toEqual([]);
    now += 100;
    await runTurns(20);
    now += 100;
    // The count of the second message waits for the end of a gap.
    await pause(50);
    expect(taken).toEqual(['0/1', '1/1', '2/1', '0/2', '1/2', '2/2']);
    expect(sent.at(-1)?.received).toBe(2);
  });

  it('should end with that of the replica, and what waits with them', async () => {
    receiver.take(makeMessage(1, ITEMS));
    await runTurns(3);
    const { length } = taken;
    receiver.close();
    await runTurns(10);
    expect(taken).toHaveLength(length);
    expect(closed).toHaveLength(length);
  });

  it('should end if more messages wait than a replica may send', async () => {
    Array.from({ length: 300 }).forEach(() => receiver.take(makeMessage(1, 1)));
    await runTurns(5);
    expect(isEnded).toBe(true);
    expect(taken).toEqual([]);
  });

  // An error of one entry's message ended the streams of all entries at the replica.
  it('should fail alone', async () => {
    receiver.take(makeMessage(1, 2));
    receiver.take(HubNews.fromPartial({ news: [makeItem(0, 13)] }));
    receiver.take(makeMessage(2, 2));
    await runTurns(20);
    expect(closed).toEqual([0]);
    expect(taken).toContain('1/2');
  });
});
