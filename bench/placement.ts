/**
 * Simulates workloads on model engines with and without single mechanisms:
 * `npm run bench:placement -- --off earlyRefusal --seeds 10`. It runs only the placement functions,
 * in simulated time, so that a change can be tried with ten seeds within seconds before it is
 * measured with real processes. The engines are simplified: the time for which a request occupies
 * its slot depends on its tokens but not on the other requests at the engine.
 */
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { MECHANISMS } from '../src/core/routing/mechanisms';
import type { Mechanism } from '../src/core/routing/mechanisms';
import { PlacementModel } from '../tests/core/placementModel';
import type { ModelOutcome, ModelWorkload } from '../tests/core/placementModel';

const RUN_SECONDS = 34;

/**
 * Eight engines with slowness factors from 1 to 5. Long reports have the highest rank, followed by
 * captions and short tags.
 */
const restorers: ModelWorkload = {
  slots: 14,
  slowness: [1, 1, 1, 1.8, 1.8, 1.8, 5, 5],
  seconds: RUN_SECONDS,
  burst: { from: 8, to: 20, times: 2 },
  kinds: [
    {
      rank: 0,
      perSecond: 19,
      promptTokens: 6_600,
      outputTokens: 380,
      spread: 1.2,
      hintSpread: 0.5,
      targetMs: 800,
      deadlineMs: 15_000,
      worth: 7.6,
      lateWorth: 3.7,
    },
    {
      rank: 1,
      perSecond: 28,
      promptTokens: 630,
      outputTokens: 290,
      spread: 1.2,
      hintSpread: 0.5,
      targetMs: 400,
      deadlineMs: 15_000,
      worth: 2.1,
      lateWorth: 1,
    },
    {
      rank: 2,
      perSecond: 36,
      promptTokens: 1_800,
      outputTokens: 23,
      spread: 1.2,
      hintSpread: 0.5,
      targetMs: 400,
      deadlineMs: 3_000,
      worth: 0.32,
      lateWorth: 0.16,
    },
  ],
};

/** The same workload, but late answers have a tenth of the worth of answers on time. */
const kiosks: ModelWorkload = {
  ...restorers,
  kinds: restorers.kinds.map((kind) => ({ ...kind, lateWorth: 0.1 * kind.worth })),
};

const workloads = { restorers, kiosks } as const;

const formatMeanAndRange = (outcomes: readonly ModelOutcome[], key: keyof ModelOutcome): string => {
  const values = outcomes.map((outcome) => outcome[key]);
  const mean = values.reduce((sum, value) => sum + value, 0) / values.length;
  const range = Math.max(...values) - Math.min(...values);
  return `${mean.toFixed(3)} (${range.toFixed(3)})`;
};

const columns: readonly (keyof ModelOutcome)[] = ['worth', 'onTime', 'late', 'refused', 'cut'];

const formatGain = (
  outcomes: readonly ModelOutcome[],
  baseline: readonly ModelOutcome[],
): string => {
  const gains = outcomes.map(({ worth }, position) => worth - (baseline[position]?.worth ?? 0));
  const mean = gains.reduce((sum, gain) => sum + gain, 0) / gains.length;
  return `${mean >= 0 ? '+' : ''}${mean.toFixed(4)}, ${gains.filter((gain) => gain > 0).length} better`;
};

const printRow = (
  name: string,
  outcomes: readonly ModelOutcome[],
  baseline: readonly ModelOutcome[],
): void => {
  const cells = columns.map((key) => formatMeanAndRange(outcomes, key).padStart(20));
  process.stdout.write(`${name.padEnd(34)}${cells.join('')}${formatGain(outcomes, baseline).padStart(20)}\n`);
};

const args = yargs(hideBin(process.argv))
  .option('off', {
    type: 'string', array: true, choices: MECHANISMS, default: [] as Mechanism[], describe: 'mechanisms to switch off, each in a row of its own',
  })
  .option('seeds', { type: 'number', default: 10, describe: 'simulation runs per row' })
  .strict()
  .parseSync();

const seeds = Array.from({ length: args.seeds }, (unused, position) => position + 1);
const headers = [...columns, 'gain, seeds better'].map((title) => title.padStart(20));

const runWorkload = (workload: ModelWorkload, off: readonly Mechanism[]): ModelOutcome[] => (
  seeds.map((seed) => new PlacementModel(workload, seed, off).run())
);

process.stdout.write(`mean (range) of ${args.seeds} runs of ${RUN_SECONDS} s\n${''.padEnd(34)}${headers.join('')}\n`);
Object.entries(workloads).forEach(([name, workload]) => {
  const baseline = runWorkload(workload, []);
  printRow(name, baseline, baseline);
  args.off.forEach((off) => printRow(`${name} without ${off}`, runWorkload(workload, [off]), baseline));
});
