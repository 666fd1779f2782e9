import prand from 'pure-rand';
import { describe, expect, it } from 'vitest';
import { LoadList, WatchReply, WorkerLoad } from '../../src/protocol/generated/beechlift';
import { LocalChoice } from '../../src/relay/localChoice';
import type { RelaySite } from '../../src/relay/relaySite';
import {
  engineRouting, makePick, makeRecord, makeSite, stoppedClock,
} from '../fakes/pickerSite';

const SERVER_COUNT = 30;
const SLOTS = 6;
/** Largest share of requests that may meet a full server while most slots are free. */
const MAX_TURNED_AWAY = 0.1;

const serverIds = Array.from({ length: SERVER_COUNT }, (unused, position) => `w${position}`);

/** Makes an entry that has the same view of the servers as all others. */
const makeEntry = (entryCount: number, loads: readonly WorkerLoad[]): RelaySite => {
  const site = makeSite(engineRouting, serverIds.map((id) => makeRecord(id, 'ready')));
  site.applyReply(WatchReply.fromPartial({
    leaseMs: 4_000,
    documentDigest: 'd',
    documentVersion: '1',
    workersEpoch: 'x',
    workersRevision: 1,
    entryCount,
    loadList: Buffer.from(LoadList.encode({ loads: [...loads] }).finish()),
  }), 0, 0);
  return site;
};

/** Lets each of some entries choose servers for its requests; returns the requests by server. */
const chooseAtAll = (
  entryCount: number,
  perEntry: number,
  loads: readonly WorkerLoad[] = [],
): ReadonlyMap<string, number> => {
  const generator = prand.xoroshiro128plus(11);
  const drawRandom = (): number => prand.unsafeUniformIntDistribution(0, 999_999, generator) / 1e6;
  const counts = new Map<string, number>();
  Array.from({ length: entryCount }, () => makeEntry(entryCount, loads)).forEach((site) => {
    const choice = new LocalChoice({
      site, connections: { hasIdle: () => false }, clock: stoppedClock, drawRandom,
    });
    Array.from({ length: perEntry }).forEach(() => {
      const { worker } = choice.choose(makePick(() => false, () => undefined), undefined);
      worker.inFlight += 1;
      counts.set(worker.id, (counts.get(worker.id) ?? 0) + 1);
    });
  });
  return counts;
};

const countTurnedAway = (counts: ReadonlyMap<string, number>): number => [...counts.values()]
  .reduce((sum, count) => sum + Math.max(0, count - SLOTS), 0);

describe('entries that choose servers by the same old view', () => {
  // Fault: all entries took the one best server, which turned nearly all of their requests away.
  it('should spread their requests over the servers with free slots', () => {
    const counts = chooseAtAll(40, 2);
    expect(countTurnedAway(counts)).toBeLessThanOrEqual(80 * MAX_TURNED_AWAY);
  });

  it('should choose no server that is known to be full while others are not', () => {
    const full = serverIds.slice(0, 20)
      .map((workerId) => WorkerLoad.fromPartial({ workerId, inFlight: SLOTS }));
    const counts = chooseAtAll(20, 1, full);
    expect(full.filter(({ workerId }) => counts.has(workerId))).toEqual([]);
  });

  it('should choose the best server if there is no other entry', () => {
    const loads = serverIds.slice(0, -1)
      .map((workerId) => WorkerLoad.fromPartial({ workerId, inFlight: 1 }));
    expect([...chooseAtAll(1, 1, loads).keys()]).toEqual(['w29']);
  });
});
