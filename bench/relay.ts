/**
 * What an entry adds: the same engine stand-in asked directly and through an entry, in turn, in one
 * run. Prints p50 and p99 of the first token and of the gaps between tokens, and the added time.
 */
import { setTimeout as pause } from 'node:timers/promises';
import { Agent, request } from 'undici';
import { API_KEY, TestSite } from '../tests/fakes/testSite';
import { startEngine } from './benchEngine';

const TOKENS = 40;

/** How many streams are open at a time, how often, and how fast the engine makes their tokens. */
interface Level {
  readonly streams: number;
  readonly rounds: number;
  readonly decodeMs: number;
}

const LEVELS: readonly Level[] = [
  { streams: 1, rounds: 40, decodeMs: 10 },
  { streams: 32, rounds: 6, decodeMs: 10 },
  { streams: 256, rounds: 2, decodeMs: 60 },
];
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

/** Streams that start one after the other, evenly over the life of one, so that none queues. */
const measureRound = (address: string, { streams, decodeMs }: Level): Promise<Timing[]> => {
  const spacingMs = (TOKENS * decodeMs) / streams;
  return Promise.all(Array.from({ length: streams }, async (unused, position) => {
    await pause(position * spacingMs);
    return measureStream(address);
  }));
};

const measureRounds = (address: string, level: Level): Promise<Timing[]> => (
  Array.from({ length: level.rounds }).reduce<Promise<Timing[]>>(
    async (earlier) => [...await earlier, ...await measureRound(address, level)],
    Promise.resolve([]),
  ));

const formatTimes = (timings: readonly Timing[]): string => {
  const first = timings.map(({ firstMs }) => firstMs);
  const gaps = timings.flatMap(({ gaps: all }) => all);
  return `first ${findQuantile(first, 0.5).toFixed(2)} / ${findQuantile(first, 0.99).toFixed(2)} ms, gap ${findQuantile(gaps, 0.5).toFixed(2)} / ${findQuantile(gaps, 0.99).toFixed(2)} ms`;
};

const compareStreams = async (engine: string, entry: string, level: Level): Promise<void> => {
  await measureRound(entry, level);
  const direct = await measureRounds(engine, level);
  const through = await measureRounds(entry, level);
  const readFirst = (timings: readonly Timing[], quantile: number) => (
    findQuantile(timings.map(({ firstMs }) => firstMs), quantile));
  const added = [0.5, 0.99].map((quantile) => (
    readFirst(through, quantile) - readFirst(direct, quantile)));
  console.log(`${level.streams} streams, a token each ${level.decodeMs} ms (p50 / p99)`);
  console.log(`  direct:  ${formatTimes(direct)}`);
  console.log(`  entry:   ${formatTimes(through)}`);
  console.log(`  added to the first token: ${added.map((ms) => ms.toFixed(2)).join(' / ')} ms`);
};

const runLevel = async (level: Level): Promise<void> => {
  const site = new TestSite();
  await site.start(1, 2);
  const { child, address } = await startEngine(site, {
    decodeMs: level.decodeMs, slots: NEEDED_SLOTS, isPrompt: true,
  });
  try {
    await compareStreams(address, site.entries[0]?.address ?? '', level);
  } finally {
    child.kill('SIGKILL');
    await site.stop();
  }
};

const runRelay = (): Promise<void> => LEVELS.reduce<Promise<void>>(
  (earlier, level) => earlier.then(() => runLevel(level)),
  Promise.resolve(),
);

runRelay().then(() => process.exit(0)).catch((error: unknown) => {
  console.error(error);
  process.exit(1);
});
