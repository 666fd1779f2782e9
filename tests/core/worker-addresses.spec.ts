import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { applyAnnouncement, expireWorkers, makeWorkerTable } from '../../src/core/routing/workerTable';
import { WorkerAnnouncement } from '../../src/protocol/generated/beechlift';

const INTERVAL_MS = 1_200;
/** Time after the end of a server in which its address is not given to another one. */
const REUSE_MS = 2_000;
const MAX_LATE_MS = 5_000;
/** Time in which announcements of the last server are in time, and those of earlier ones late. */
const CALM_MS = 12_000;

/** A server at the address: how long it runs, and how late its announcements are. */
interface Boot {
  readonly runsMs: number;
  readonly pauseMs: number;
  readonly delaysMs: readonly number[];
}

interface Arrival {
  readonly at: number;
  readonly announcement: WorkerAnnouncement;
}

const boot: fc.Arbitrary<Boot> = fc.record({
  runsMs: fc.integer({ min: 100, max: 8_000 }),
  pauseMs: fc.integer({ min: REUSE_MS, max: 6_000 }),
  delaysMs: fc.array(fc.oneof(
    { weight: 2, arbitrary: fc.constant(10) },
    { weight: 1, arbitrary: fc.integer({ min: 10, max: MAX_LATE_MS }) },
  ), { minLength: 1, maxLength: 8 }),
});

const listArrivals = (
  workerId: string,
  startAt: number,
  runsMs: number,
  readDelayMs: (position: number, sentAt: number) => number,
): Arrival[] => Array.from({ length: Math.ceil(runsMs / INTERVAL_MS) }, (unused, position) => {
  const sentAt = startAt + position * INTERVAL_MS;
  return {
    at: sentAt + readDelayMs(position, sentAt),
    announcement: WorkerAnnouncement.fromPartial({
      workerId, service: 'rooms', address: '10.0.0.1:80', zone: 'a', slots: 6, state: 'ready', sequence: position + 1,
    }),
  };
});

describe('an address that several servers use one after another', () => {
  // The late heartbeat of a crashed server, known or not, took the one that ran at its address out
  // of service for good.
  it('should belong to the last one in the end, whatever is heard late', () => {
    fc.assert(fc.property(fc.array(boot, { minLength: 1, maxLength: 4 }), (boots) => {
      let startAt = 0;
      const arrivals = boots.flatMap(({ runsMs, pauseMs, delaysMs }, number) => {
        const from = startAt;
        startAt += runsMs + pauseMs;
        return listArrivals(`b${number}`, from, runsMs, (position) => delaysMs[position % delaysMs.length] ?? 0);
      });
      const last = listArrivals('last', startAt, CALM_MS, () => 10);
      const table = makeWorkerTable('e');
      [...arrivals, ...last].sort((a, b) => a.at - b.at).forEach(({ at, announcement }) => {
        applyAnnouncement(table, announcement, at);
        expireWorkers(table, at);
      });
      const ready = [...table.workers.values()].filter(({ standing }) => standing === 'ready');
      expect(ready.map(({ said }) => said.workerId)).toEqual(['last']);
    }), { numRuns: 500, seed: 4_711 });
  });
});
