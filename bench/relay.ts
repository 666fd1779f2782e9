/**
 * What an entry adds: the same engine stand-in asked directly and through an entry, in turn, in one
 * run. Prints p50 and p99 of the first token and of the gaps between tokens, and the added time.
 */
import { Agent, request } from 'undici';
import { API_KEY, TestSite } from '../tests/fakes/testSite';
import { startEngine } from './benchEngine';

const TOKENS = 40;
const DECODE_MS = 10;
const STREAMS = [1, 32, 256];
const ROUNDS: Readonly<Record<number, number>> = { 1: 30, 32: 6, 256: 2 };
const NEEDED_SLOTS = 600;

interface Timing {
  readonly firstMs: number;
  readonly gaps: readonly number[];
}

const agent = new Agent({ connections: 1_000 });

const findQuantile = (values: readonly number[], quantile: number): number => {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * quantile))] ?? 0;
};

const measureStream = async (address: string): Promise<Timing> => {
  const startedAt = performance.now();
  const response = await request(`http://${address}/v1/completions`, {
    method: 'POST',
    dispatcher: agent,
    headers: { authorization: `Bearer ${API_KEY}`, 'content-type': 'application/json' },
    body: JSON.stringify({
      model: 'guide', prompt: 'hello', max_tokens: TOKENS, stream: true,
    }),
  });
  const times: number[] = [];
  // eslint-disable-next-line no-restricted-syntax -- a stream is read in order
  for await (const piece of response.body) {
    const events = (piece as Buffer).toString().split('data: {').length - 1;
    if (events > 0) times.push(performance.now());
  }
  const gaps = times.slice(1).map((time, position) => time - (times[position] ?? 0));
  return { firstMs: (times[0] ?? 0) - startedAt, gaps };
};

const measureRounds = async (address: string, streams: number): Promise<Timing[]> => {
  const rounds = Array.from({ length: ROUNDS[streams] ?? 1 });
  return rounds.reduce<Promise<Timing[]>>(async (earlier) => [
    ...await earlier,
    ...await Promise.all(Array.from({ length: streams }, () => measureStream(address))),
  ], Promise.resolve([]));
};

const formatTimes = (timings: readonly Timing[]): string => {
  const first = timings.map(({ firstMs }) => firstMs);
  const gaps = timings.flatMap(({ gaps: all }) => all);
  return `first ${findQuantile(first, 0.5).toFixed(2)} / ${findQuantile(first, 0.99).toFixed(2)} ms, gap ${findQuantile(gaps, 0.5).toFixed(2)} / ${findQuantile(gaps, 0.99).toFixed(2)} ms`;
};

const compareStreams = async (engine: string, entry: string, streams: number): Promise<void> => {
  await measureRounds(entry, streams);
  const direct = await measureRounds(engine, streams);
  const through = await measureRounds(entry, streams);
  const readFirst = (timings: readonly Timing[], quantile: number) => (
    findQuantile(timings.map(({ firstMs }) => firstMs), quantile));
  const added = [0.5, 0.99].map((quantile) => (
    readFirst(through, quantile) - readFirst(direct, quantile)));
  console.log(`${streams} streams (p50 / p99)`);
  console.log(`  direct:  ${formatTimes(direct)}`);
  console.log(`  entry:   ${formatTimes(through)}`);
  console.log(`  added to the first token: ${added.map((ms) => ms.toFixed(2)).join(' / ')} ms`);
};

const runRelay = async (): Promise<void> => {
  const site = new TestSite();
  await site.start(1, 2);
  const { child, address } = await startEngine(site, { decodeMs: DECODE_MS, slots: NEEDED_SLOTS });
  try {
    await STREAMS.reduce<Promise<void>>(async (earlier, streams) => {
      await earlier;
      await compareStreams(address, site.entries[0]?.address ?? '', streams);
    }, Promise.resolve());
  } finally {
    child.kill('SIGKILL');
    await site.stop();
  }
};

runRelay().then(() => process.exit(0)).catch((error: unknown) => {
  console.error(error);
  process.exit(1);
});
