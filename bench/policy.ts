/**
 * Compares scheduling policies on the same arrivals: the default policy (`ours`), round robin, and
 * least outstanding requests, counted by each entry alone. Arguments: workload (kiosk | registry),
 * seconds per run, and loads as multiples of the workload's capacity.
 *
 * Environment variables: FAULT=slow or FAULT=stall injects this fault into the first engine, one of
 * the two fastest, after a fifth of each run. ABLATE=1 adds policies with one feature switched off
 * each. POLICIES selects policies by name, separated by commas. SEED sets the seed of the arrivals.
 */
import { writeFileSync } from 'node:fs';
import type { PolicySettings } from '../src/core/schedule/scheduleTypes';
import { KIOSK_WORKLOAD, makeArrivals, REGISTRY_WORKLOAD } from './policyLoad';
import type { Arrival } from './policyLoad';
import { PolicySite } from './policySite';
import type { EngineTotals, Outcome } from './policySite';

const WORKLOADS = {
  kiosk: { tiers: KIOSK_WORKLOAD, capacity: 110 },
  registry: { tiers: REGISTRY_WORKLOAD, capacity: 75 },
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

const ENTRY_COUNT = 8;
const FAULT_START_SHARE = 0.2;
const SEED = Number(process.env.SEED ?? 20_261);

const [workloadName = 'kiosk', secondsText = '10', ...loadTexts] = process.argv.slice(2);
const workload = WORKLOADS[workloadName as keyof typeof WORKLOADS];
const seconds = Number(secondsText);
const loads = loadTexts.length > 0 ? loadTexts.map(Number) : [0.7, 1, 1.5, 3];

interface PolicyResult {
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

const computeQuantile = (values: readonly number[], quantile: number): number => {
  const sorted = [...values].sort((a, b) => a - b);
  return Math.round(sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * quantile))] ?? 0);
};

const countByKind = (outcomes: readonly Outcome[]): Record<string, number> => outcomes
  .map(({ kind, name }) => (kind === 'refused' ? `refused ${name}` : kind))
  .reduce<Record<string, number>>(
    (counts, kind) => ({ ...counts, [kind]: (counts[kind] ?? 0) + 1 }),
    {},
  );

const collectByTier = <Value>(read: (name: string) => Value): Record<string, Value> => (
  Object.fromEntries(workload.tiers.map(({ name }) => [name, read(name)])));

const summarizeOutcomes = (
  policy: string,
  load: number,
  outcomes: readonly Outcome[],
  before: EngineTotals,
  after: EngineTotals,
): PolicyResult => {
  const selectByTier = (name: string) => outcomes.filter(({ tier }) => tier === name);
  const selectInTime = (items: readonly Outcome[]) => items.filter(({ kind }) => kind === 'inTime');
  const listFirstTokenTimes = (name: string) => selectInTime(selectByTier(name))
    .map(({ firstTokenMs }) => firstTokenMs);
  const wasted = after.wastedTokens - before.wastedTokens;
  const answered = outcomes.filter(({ kind }) => kind !== 'refused').length;
  return {
    policy,
    load,
    sent: outcomes.length,
    inTime: selectInTime(outcomes).length,
    goodput: collectByTier(
      (name) => (
        selectInTime(selectByTier(name)).length / Math.max(1, selectByTier(name).length)
      ).toFixed(3),
    ),
    firstTokenP50: collectByTier((name) => computeQuantile(listFirstTokenTimes(name), 0.5)),
    firstTokenP99: collectByTier((name) => computeQuantile(listFirstTokenTimes(name), 0.99)),
    wasted: Math.round(wasted),
    wastedShare: (wasted / Math.max(1, after.prefilledTokens - before.prefilledTokens)).toFixed(4),
    doubled: Math.max(0, after.dispatched - before.dispatched - answered),
    kinds: countByKind(outcomes),
  };
};

/** Runs the arrivals, and injects the fault, if one is set, into the first engine. */
const runWithFault = async (
  site: PolicySite,
  arrivals: readonly Arrival[],
): Promise<Outcome[]> => {
  const fault = process.env.FAULT;
  if (!fault) return site.run(arrivals);
  const timer = setTimeout(() => {
    site.setFault(0, fault).catch(console.error);
  }, seconds * 1_000 * FAULT_START_SHARE);
  const outcomes = await site.run(arrivals);
  clearTimeout(timer);
  await site.setFault(0, 'none');
  return outcomes;
};

const runLoads = async (
  site: PolicySite,
  policy: string,
): Promise<PolicyResult[]> => loads.reduce<Promise<PolicyResult[]>>(
  async (previous, load) => {
    const rows = await previous;
    const arrivals = makeArrivals(workload.tiers, workload.capacity * load, seconds, SEED);
    const before = await site.readTotals();
    const outcomes = await runWithFault(site, arrivals);
    const row = summarizeOutcomes(policy, load, outcomes, before, await site.readTotals());
    console.log(JSON.stringify(row));
    return [...rows, row];
  },
  Promise.resolve([]),
);

const runPolicy = async (name: string): Promise<PolicyResult[]> => {
  const site = new PolicySite(POLICIES[name] ?? {}, workload.tiers);
  try {
    await site.start(ENTRY_COUNT);
    // Policies learn from requests: each is warmed up with other arrivals than those measured.
    await site.run(makeArrivals(workload.tiers, workload.capacity * 0.5, 4, SEED + 1));
    return await runLoads(site, name);
  } finally {
    await site.stop();
  }
};

const runAll = async (): Promise<void> => {
  const selectedPolicies = process.env.POLICIES?.split(',') ?? Object.keys(POLICIES);
  const rows = await selectedPolicies.reduce<Promise<PolicyResult[]>>(
    async (previous, name) => [...await previous, ...await runPolicy(name)],
    Promise.resolve([]),
  );
  writeFileSync(`dist/policy-${workloadName}.json`, JSON.stringify(rows, null, 2));
};

runAll().then(() => process.exit(0)).catch((error: unknown) => {
  console.error(error);
  process.exit(1);
});
