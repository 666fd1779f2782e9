import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { runSearch } from '../fakes/runSearch';
import { drawSteps, SuspectModel } from './suspectModel';

/** Retries that may reach servers once three have ended and the news had time to travel. */
const MAX_LATE_SENDS = 3;

describe('news of requests that end servers', () => {
  // Guards against any order of cuts, lost leaders and restarts by which such a request goes on.
  it('should keep such a request from all entries in touch, and nobody who did nothing', () => {
    const runs = runSearch(fc.property(drawSteps, (steps) => {
      const { lateSends, breaches, falselyRefused: falselyRefused } = new SuspectModel().run(steps);
      expect(lateSends).toBeLessThanOrEqual(MAX_LATE_SENDS);
      expect(breaches).toBe(0);
      expect(falselyRefused).toEqual([]);
    }), { runs: 3_000, seed: 4_711 });
    expect(runs).toBeGreaterThan(0);
  });
});
