/**
 * Measures the latency that an entry adds. The same requests go directly to a fake engine and
 * then through an entry, in the same run. Prints the p50 and p99 of the time to the first token and
 * of the gaps between tokens, and the time that the entry adds to the first token.
 */
import { setTimeout as pause } from 'node:timers/promises';
import { Agent, request } from 'undici';
import { API_KEY, TestSite } from '../tests/fakes/testSite';
import { startEngine } from './benchEngine';

const TOKENS_PER_STREAM = 40;

/** Streams per round, number of rounds, and the engine's time per token. */
interface LoadLevel {
  readonly streams: number;
  readonly rounds: number;
  readonly decodeMs: number;
}

const LEVELS: readonly LoadLevel[] = [
  { streams: 1, rounds: 40, decodeMs: 10 },
  { streams: 32, rounds: 6, decodeMs: 10 },
  { streams: 256, rounds: 2, decodeMs: 60 },
];
const ENGINE_SLOTS = 600;

interface StreamTiming {
  readonly firstTokenMs: number;
  readonly gaps: readonly number[];
}

const agent = new Agent({ connections: 1_000 });

const computeQuantile = (values: readonly number[], quantile: number): number => {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * quantile))] ?? 0;
};

const measureStream = async (address: string): Promise<StreamTiming> => {
  const startedAt = performance.now();
  const response = await request(`http://${address}/v1/completions`, {
    method: 'POST',
    dispatcher: agent,
    headers: { authorization: `Bearer ${API_KEY}`, 'content-type': 'application/json' },
    body: JSON.stringify({
      model: 'guide', prompt: 'hello', max_tokens: TOKENS_PER_STREAM, stream: true,
    }),
  });
  const times: number[] = [];
  // eslint-disable-next-line no-restricted-syntax -- the chunks of a stream are read in order
  for await (const chunk of response.body) {
    const events = (chunk as Buffer).toString().split('data: {').length - 1;
    if (events > 0) times.push(performance.now());
  }
  const gaps = times.slice(1).map((time, position) => time - (times[position] ?? 0));
  return { firstTokenMs: (times[0] ?? 0) - startedAt, gaps };
};

/** Spaces the starts evenly over the duration of one stream, so that no request queues. */
const measureRound = (
  address: string,
  { streams, decodeMs }: LoadLevel,
): Promise<StreamTiming[]> => {
  const spacingMs = (TOKENS_PER_STREAM * decodeMs) / streams;
  return Promise.all(Array.from({ length: streams }, async (unused, position) => {
    await pause(position * spacingMs);
    return measureStream(address);
  }));
};

const measureRounds = (address: string, level: LoadLevel): Promise<StreamTiming[]> => (
  Array.from({ length: level.rounds }).reduce<Promise<StreamTiming[]>>(
    async (previous) => [...await previous, ...await measureRound(address, level)],
    Promise.resolve([]),
  ));

const formatTimings = (timings: readonly StreamTiming[]): string => {
  const firstTokenTimes = timings.map(({ firstTokenMs }) => firstTokenMs);
  const gaps = timings.flatMap(({ gaps: streamGaps }) => streamGaps);
  return `first ${computeQuantile(firstTokenTimes, 0.5).toFixed(2)} / ${computeQuantile(firstTokenTimes, 0.99).toFixed(2)} ms, gap ${computeQuantile(gaps, 0.5).toFixed(2)} / ${computeQuantile(gaps, 0.99).toFixed(2)} ms`;
};

const compareStreams = async (engine: string, entry: string, level: LoadLevel): Promise<void> => {
  await measureRound(entry, level);
  const direct = await measureRounds(engine, level);
  const viaEntry = await measureRounds(entry, level);
  const computeFirstTokenQuantile = (timings: readonly StreamTiming[], quantile: number) => (
    computeQuantile(timings.map(({ firstTokenMs }) => firstTokenMs), quantile));
  const added = [0.5, 0.99].map((quantile) => (
    computeFirstTokenQuantile(viaEntry, quantile) - computeFirstTokenQuantile(direct, quantile)));
  console.log(`${level.streams} streams, one token every ${level.decodeMs} ms (p50 / p99)`);
  console.log(`  direct:  ${formatTimings(direct)}`);
  console.log(`  entry:   ${formatTimings(viaEntry)}`);
  console.log(`  added to the first token: ${added.map((ms) => ms.toFixed(2)).join(' / ')} ms`);
};

const runLevel = async (level: LoadLevel): Promise<void> => {
  const site = new TestSite();
  await site.start(1, 2);
  const { child, address } = await startEngine(site, {
    decodeMs: level.decodeMs, slots: ENGINE_SLOTS, isPrompt: true,
  });
  try {
    await compareStreams(address, site.entries[0]?.address ?? '', level);
  } finally {
    child.kill('SIGKILL');
    await site.stop();
  }
};

const runLevels = (): Promise<void> => LEVELS.reduce<Promise<void>>(
  (previous, level) => previous.then(() => runLevel(level)),
  Promise.resolve(),
);

runLevels().then(() => process.exit(0)).catch((error: unknown) => {
  console.error(error);
  process.exit(1);
});
