/**
 * Policies side by side on the same arrivals: ours, round robin, and least outstanding at each
 * entry alone. Arguments: shape (kiosk | registry), seconds of each run, and loads. FAULT=slow or
 * FAULT=stall strikes the first engine, one of the two fastest, after a fifth of each run.
 */
import { writeFileSync } from 'node:fs';
import type { PolicySettings } from '../src/core/schedule/scheduleTypes';
import { KIOSK_SHAPE, makeArrivals, REGISTRY_SHAPE } from './policyLoad';
import type { Arrival } from './policyLoad';
import { PolicySite } from './policySite';
import type { EngineTotals, Outcome } from './policySite';

const SHAPES = {
  kiosk: { tiers: KIOSK_SHAPE, capacity: 110 },
  registry: { tiers: REGISTRY_SHAPE, capacity: 75 },
} as const;

const POLICIES: Readonly<Record<string, Partial<PolicySettings>>> = {
  ours: {},
  roundRobin: { name: 'roundRobin' },
  leastOutstanding: { name: 'leastOutstanding' },
  ...(process.env.ABLATE ? {
    noAffinity: { affinity: false },
    noHeadroom: { headroom: false },
    noStragglers: { stragglers: false },
    noSpeeds: { speeds: false },
  } : {}),
};

const ENTRIES = 8;
const FAULT_AFTER = 0.2;
const SEED = Number(process.env.SEED ?? 20_261);

const [shapeName = 'kiosk', secondsText = '10', ...loadTexts] = process.argv.slice(2);
const shape = SHAPES[shapeName as keyof typeof SHAPES];
const seconds = Number(secondsText);
const loads = loadTexts.length > 0 ? loadTexts.map(Number) : [0.7, 1, 1.5, 3];

interface Row {
  readonly policy: string;
  readonly load: number;
  readonly sent: number;
  readonly inTime: number;
  readonly goodput: Record<string, string>;
  readonly firstTokenP50: Record<string, number>;
  readonly firstTokenP99: Record<string, number>;
  readonly wasted: number;
  readonly wastedShare: string;
  readonly doubled: number;
  readonly kinds: Record<string, number>;
}

const findQuantile = (values: readonly number[], quantile: number): number => {
  const sorted = [...values].sort((a, b) => a - b);
  return Math.round(sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * quantile))] ?? 0);
};

const countKinds = (outcomes: readonly Outcome[]): Record<string, number> => outcomes
  .map(({ kind, name }) => (kind === 'refused' ? `refused ${name}` : kind))
  .reduce<Record<string, number>>(
    (counts, kind) => ({ ...counts, [kind]: (counts[kind] ?? 0) + 1 }),
    {},
  );

const readTiers = <Value>(read: (name: string) => Value): Record<string, Value> => (
  Object.fromEntries(shape.tiers.map(({ name }) => [name, read(name)])));

const sumOutcomes = (
  policy: string,
  load: number,
  outcomes: readonly Outcome[],
  before: EngineTotals,
  after: EngineTotals,
): Row => {
  const pickTier = (name: string) => outcomes.filter(({ tier }) => tier === name);
  const pickInTime = (items: readonly Outcome[]) => items.filter(({ kind }) => kind === 'inTime');
  const readTimes = (name: string) => pickInTime(pickTier(name))
    .map(({ firstTokenMs }) => firstTokenMs);
  const wasted = after.wastedTokens - before.wastedTokens;
  const answered = outcomes.filter(({ kind }) => kind !== 'refused').length;
  return {
    policy,
    load,
    sent: outcomes.length,
    inTime: pickInTime(outcomes).length,
    goodput: readTiers(
      (name) => (pickInTime(pickTier(name)).length / Math.max(1, pickTier(name).length)).toFixed(3),
    ),
    firstTokenP50: readTiers((name) => findQuantile(readTimes(name), 0.5)),
    firstTokenP99: readTiers((name) => findQuantile(readTimes(name), 0.99)),
    wasted: Math.round(wasted),
    wastedShare: (wasted / Math.max(1, after.prefilledTokens - before.prefilledTokens)).toFixed(4),
    doubled: Math.max(0, after.dispatched - before.dispatched - answered),
    kinds: countKinds(outcomes),
  };
};

/** Strikes the first engine for the rest of a run. */
const runWithFault = async (
  site: PolicySite,
  arrivals: readonly Arrival[],
): Promise<Outcome[]> => {
  const fault = process.env.FAULT;
  if (!fault) return site.run(arrivals);
  const timer = setTimeout(() => {
    site.setFault(0, fault).catch(console.error);
  }, seconds * 1_000 * FAULT_AFTER);
  const outcomes = await site.run(arrivals);
  clearTimeout(timer);
  await site.setFault(0, 'none');
  return outcomes;
};

const runLoads = async (
  site: PolicySite,
  policy: string,
): Promise<Row[]> => loads.reduce<Promise<Row[]>>(
  async (earlier, load) => {
    const rows = await earlier;
    const arrivals = makeArrivals(shape.tiers, shape.capacity * load, seconds, SEED);
    const before = await site.readTotals();
    const outcomes = await runWithFault(site, arrivals);
    const row = sumOutcomes(policy, load, outcomes, before, await site.readTotals());
    console.log(JSON.stringify(row));
    return [...rows, row];
  },
  Promise.resolve([]),
);

const runPolicy = async (name: string): Promise<Row[]> => {
  const site = new PolicySite(POLICIES[name] ?? {}, shape.tiers);
  try {
    await site.start(ENTRIES);
    // Warms up what every policy learns, on other arrivals.
    await site.run(makeArrivals(shape.tiers, shape.capacity * 0.5, 4, SEED + 1));
    return await runLoads(site, name);
  } finally {
    await site.stop();
  }
};

const runAll = async (): Promise<void> => {
  const chosen = process.env.POLICIES?.split(',') ?? Object.keys(POLICIES);
  const rows = await chosen.reduce<Promise<Row[]>>(
    async (earlier, name) => [...await earlier, ...await runPolicy(name)],
    Promise.resolve([]),
  );
  writeFileSync(`dist/policy-${shapeName}.json`, JSON.stringify(rows, null, 2));
};

runAll().then(() => process.exit(0)).catch((error: unknown) => {
  console.error(error);
  process.exit(1);
});
