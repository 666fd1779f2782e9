/**
 * Plays sheets of model engines through the decision core alone, in simulated time, with and
 * without one mechanism: `npm run bench:placement -- --off earlyRefusal --seeds 10`. A hypothesis
 * meets ten seeds in seconds before it meets processes. Its engines are a model: a request holds
 * its slot for a time that grows with its tokens, whatever runs beside it.
 */
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { MECHANISMS } from '../src/core/routing/mechanisms';
import type { Mechanism } from '../src/core/routing/mechanisms';
import { PlacementModel } from '../tests/core/placementModel';
import type { ModelOutcome, ModelWorkload } from '../tests/core/placementModel';

const RUN_SECONDS = 34;

/** Eight engines of speeds 1 to 5, long reports above captions above short tags. */
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

/** The same with answers that are worth a tenth when they are late. */
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

const formatGain = (outcomes: readonly ModelOutcome[], baseline: readonly ModelOutcome[]): string => {
  const gains = outcomes.map(({ worth }, position) => worth - (baseline[position]?.worth ?? 0));
  const mean = gains.reduce((sum, gain) => sum + gain, 0) / gains.length;
  return `${mean >= 0 ? '+' : ''}${mean.toFixed(4)}, ${gains.filter((gain) => gain > 0).length} up`;
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
    type: 'string', array: true, choices: MECHANISMS, default: [] as Mechanism[], describe: 'mechanisms to go without, one row each',
  })
  .option('seeds', { type: 'number', default: 10, describe: 'plays a row' })
  .strict()
  .parseSync();

const seeds = Array.from({ length: args.seeds }, (unused, position) => position + 1);
const headers = [...columns, 'by seed'].map((title) => title.padStart(20));

const runWorkload = (workload: ModelWorkload, off: readonly Mechanism[]): ModelOutcome[] => (
  seeds.map((seed) => new PlacementModel(workload, seed, off).run())
);

process.stdout.write(`mean (spread) of ${args.seeds} plays of ${RUN_SECONDS} s\n${''.padEnd(34)}${headers.join('')}\n`);
Object.entries(workloads).forEach(([name, workload]) => {
  const baseline = runWorkload(workload, []);
  printRow(name, baseline, baseline);
  args.off.forEach((off) => printRow(`${name} without ${off}`, runWorkload(workload, [off]), baseline));
});
