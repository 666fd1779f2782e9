import { setTimeout as pause } from 'node:timers/promises';
import { Agent, request } from 'undici';
import type { PolicySettings } from '../src/core/schedule/scheduleTypes';
import { makeExpectedText } from '../tests/fakes/engineModel';
import {
  hashKey, makeManifest, TestSite, waitUntil,
} from '../tests/fakes/testSite';
import { startEngine } from './benchEngine';
import type { BenchEngine } from './benchEngine';
import { ACCOUNT_SHARES } from './policyLoad';
import type { Arrival, TierShape } from './policyLoad';

/** Engines of the benchmark: two of each of three speeds. */
export const ENGINES = [1, 1, 2, 2, 4, 4].map((slowness, position) => ({
  id: `g${position}`,
  hardware: `speed-${slowness}`,
  prefillMs: 0.05 * slowness,
  decodeMs: 5 * slowness,
  slots: 8,
}));

/** Outcome of one request. */
export interface Outcome {
  readonly tier: string;
  readonly kind: 'inTime' | 'late' | 'refused' | 'lost' | 'wrong';
  readonly firstTokenMs: number;
  /** Name of the service's error, or message of the client's; empty for an answer. */
  readonly name: string;
}

/** Counters summed over all engines. */
export interface EngineTotals {
  readonly prefilledTokens: number;
  readonly wastedTokens: number;
  readonly dispatched: number;
}

interface StreamChunk {
  readonly choices?: readonly { readonly text: string }[];
}

const agent = new Agent({ connections: 2_000, keepAliveTimeout: 500 });

/** Entries with one policy and engines of different speeds, each in its own process. */
export class PolicySite {
  readonly site = new TestSite();

  private readonly engines: BenchEngine[] = [];

  constructor(policy: Partial<PolicySettings>, private readonly workload: readonly TierShape[]) {
    this.site.entryProgram = ['dist/benchEntry.cjs', JSON.stringify(policy)];
  }

  /** Starts all processes and waits until all engines are listed. */
  async start(entries: number): Promise<void> {
    const accounts = Object.fromEntries(Object.keys(ACCOUNT_SHARES).map((name) => [name, {
      keyHashes: [hashKey(name)], tiers: this.workload.map((tier) => tier.name), concurrency: 1_900,
    }]));
    const tiers = Object.fromEntries(this.workload.map((
      { name, firstTokenMs, totalMs },
      rank,
    ) => [name, {
      rank, firstTokenMs, totalMs, headroom: rank < 2 ? 0.15 : 0,
    }]));
    await this.site.start(1, entries, makeManifest(1, { tiers, accounts }));
    await Promise.all(ENGINES.map((engine) => this.addEngine(engine)));
    await waitUntil('all engines are listed', async () => (
      new Set(await this.site.listWorkers()).size === ENGINES.length));
    await pause(1_500);
  }

  /** Sends each request at its arrival time and waits for all outcomes. */
  run(arrivals: readonly Arrival[]): Promise<Outcome[]> {
    const startedAt = performance.now();
    return Promise.all(arrivals.map(async (arrival, position) => {
      await pause(Math.max(0, arrival.atMs - (performance.now() - startedAt)));
      return this.send(arrival, position);
    }));
  }

  /** Reads the counters of all engines and sums them. */
  async readTotals(): Promise<EngineTotals> {
    const totals = await Promise.all(this.engines.map(async ({ address }) => {
      const response = await request(`http://${address}/v1/stats`);
      return await response.body.json() as EngineTotals;
    }));
    return totals.reduce((sum, item) => ({
      prefilledTokens: sum.prefilledTokens + item.prefilledTokens,
      wastedTokens: sum.wastedTokens + item.wastedTokens,
      dispatched: sum.dispatched + item.dispatched,
    }));
  }

  /** Sets the fault that an engine simulates; `none` ends it. */
  async setFault(position: number, kind: string): Promise<void> {
    const response = await request(`http://${this.engines[position]?.address}/v1/fault`, {
      method: 'POST', body: JSON.stringify({ kind }),
    });
    await response.body.dump();
  }

  async stop(): Promise<void> {
    this.engines.forEach(({ child }) => child.kill('SIGKILL'));
    await this.site.stop();
  }

  private async addEngine(engine: (typeof ENGINES)[number]): Promise<void> {
    this.engines.push(await startEngine(this.site, { ...engine, loadLagMs: 1_000 }));
  }

  private async send(arrival: Arrival, position: number): Promise<Outcome> {
    const {
      tier, account, prompt, outputTokens,
    } = arrival;
    const entry = this.site.entries[position % this.site.entries.length];
    const startedAt = performance.now();
    const base = { tier: tier.name, firstTokenMs: 0, name: '' };
    try {
      const response = await request(`http://${entry?.address}/v1/completions`, {
        method: 'POST',
        dispatcher: agent,
        signal: AbortSignal.timeout(tier.totalMs),
        headers: {
          authorization: `Bearer ${account}`,
          'content-type': 'application/json',
          'beechlift-tier': tier.name,
        },
        body: JSON.stringify({
          model: 'guide', prompt, max_tokens: outputTokens, stream: true,
        }),
      });
      const firstTokenMs = performance.now() - startedAt;
      const text = await response.body.text();
      if (response.statusCode !== 200) {
        return {
          ...base,
          kind: 'refused',
          name: (JSON.parse(text) as { error: { name: string } }).error.name,
        };
      }
      return { ...base, firstTokenMs, kind: this.classifyAnswer(text, arrival, firstTokenMs) };
    } catch (error) {
      return {
        ...base,
        kind: (error as Error).name === 'TimeoutError' ? 'late' : 'lost',
        name: (error as Error).message,
      };
    }
  }

  private classifyAnswer(
    text: string,
    { prompt, outputTokens, tier }: Arrival,
    firstTokenMs: number,
  ): Outcome['kind'] {
    const answer = text.split('\n')
      .filter((line) => line.startsWith('data: {'))
      .map((line) => JSON.parse(line.slice(6)) as StreamChunk)
      .map(({ choices }) => choices?.[0]?.text ?? '')
      .join('');
    if (answer !== makeExpectedText(prompt, outputTokens)) return 'wrong';
    return firstTokenMs <= tier.firstTokenMs ? 'inTime' : 'late';
  }
}
