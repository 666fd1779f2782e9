import { describe, expect, it } from 'vitest';
import { drawPlan } from './soakPlan';
import { SoakRun } from './soakRun';

/** Seeds of a normal test run. */
const SHORT_SEEDS = '7,10,14';
/** A run must have ended by then, in milliseconds. */
const RUN_TIMEOUT_MS = 180_000;
/** Most faults that are printed; all of them are in the logs. */
const MOST_PRINTED = 20;

/** Lists the seeds of a text like "1-3,41". */
const parseSeeds = (text: string): number[] => text.split(',').flatMap((part) => {
  const [first = 0, last = first] = part.split('-').map(Number);
  return Array.from({ length: last - first + 1 }, (unused, index) => first + index);
});

const seeds = parseSeeds(process.env.BEECHLIFT_SOAK_SEEDS ?? SHORT_SEEDS);

describe('entries that stop while callers use open connections until the process is gone', () => {
  // Fault: an entry that stopped took a stream by an estimate, a burst slowed the engines, and the
  // stream was cut at the end of the grace.
  it.each(seeds)('should complete or refuse each request: seed %i', async (seed) => {
    const plan = drawPlan(seed);
    const { faults, totals, logs } = await SoakRun.perform(seed, plan);
    console.log(`seed ${seed}: ${JSON.stringify(totals)}, ${faults.length} faults`);
    if (faults.length > 0) console.log(`plan of seed ${seed}: ${JSON.stringify(plan)}\nlogs: ${logs}`);
    expect(faults.slice(0, MOST_PRINTED)).toEqual([]);
  }, RUN_TIMEOUT_MS);
});
