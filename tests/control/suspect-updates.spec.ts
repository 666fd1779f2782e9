import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { runSearch } from '../fakes/runSearch';
import { drawSteps, SuspectModel } from './suspectModel';

/** Most retries that may reach servers after three crashes and the time for updates to arrive. */
const MAX_LATE_SENDS = 3;

describe('updates on requests that crash servers', () => {
  // No order of partitions, lost leaders and restarts may let such a request reach more servers.
  it('should make all reachable entries refuse such a request, and no harmless request', () => {
    const runs = runSearch(fc.property(drawSteps, (steps) => {
      const { lateSends, breaches, falselyRefused } = new SuspectModel().run(steps);
      expect(lateSends).toBeLessThanOrEqual(MAX_LATE_SENDS);
      expect(breaches).toBe(0);
      expect(falselyRefused).toEqual([]);
    }), { runs: 3_000, seed: 4_711 });
    expect(runs).toBeGreaterThan(0);
  });
});
