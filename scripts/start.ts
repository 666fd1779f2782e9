/**
 * Runs a small demo site on loopback: two entries, one control replica and two fake engines of
 * different speeds, each in its own process. Submits a manifest, sends two requests, prints their
 * answers and traces, and exits. With `--keep` the site runs until it is interrupted. All processes
 * are stopped and all files are removed at the end.
 */
import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import {
  mkdtempSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as pause } from 'node:timers/promises';
import { request } from 'undici';
import { findFreeAddress } from '../tests/fakes/freeAddress';
import { hashKey, waitUntil } from '../tests/fakes/testSite';

interface StreamChunk {
  readonly choices: readonly { readonly delta: { readonly content: string } }[];
}

interface Span {
  readonly traceId: string;
  readonly spanId: string;
  readonly parentId: string;
  readonly hop: string;
  readonly startMs: number;
  readonly durationMs: number;
  readonly attributes: Readonly<Record<string, string>>;
}

const OPERATOR_KEY = 'demo-operator';
const CLIENT_KEY = 'demo-kiosk';
const STOP_TIMEOUT_MS = 4_000;

const keepsRunning = process.argv.includes('--keep');
const folder = mkdtempSync(join(tmpdir(), 'beechlift-'));
const children: ChildProcess[] = [];

const spawnProcess = (args: readonly string[]): ChildProcess => {
  const child = spawn(process.execPath, [...args], { stdio: ['ignore', 'pipe', 'pipe'] });
  child.stderr?.resume();
  child.stdout?.on('data', (data: Buffer) => {
    if (process.env.BEECHLIFT_LOGS) process.stderr.write(data);
  });
  children.push(child);
  return child;
};

const waitForExit = (child: ChildProcess): Promise<void> => new Promise((resolve) => {
  if (child.exitCode !== null || child.signalCode !== null) resolve();
  else child.once('exit', () => resolve());
});

const stopAll = async (): Promise<void> => {
  children.forEach((child) => child.kill('SIGKILL'));
  await Promise.race([Promise.all(children.map(waitForExit)), pause(STOP_TIMEOUT_MS)]);
  rmSync(folder, { recursive: true, force: true });
};

const writeJson = (name: string, document: object): string => {
  const path = join(folder, name);
  writeFileSync(path, JSON.stringify(document, null, 2));
  return path;
};

const makeManifest = () => ({
  version: 1,
  operators: { pipeline: { keyHash: hashKey(OPERATOR_KEY) } },
  tiers: {
    door: {
      rank: 0, firstTokenMs: 500, totalMs: 5_000, headroom: 0.2,
    },
    history: { rank: 1, firstTokenMs: 5_000, totalMs: 60_000 },
  },
  accounts: {
    kiosks: { keyHashes: [hashKey(CLIENT_KEY)], tiers: ['door', 'history'], concurrency: 64 },
  },
  models: { guide: {} },
  pools: { engines: { kind: 'model', models: ['guide'] } },
});

const runCli = (args: readonly string[]): Promise<void> => new Promise((resolve, reject) => {
  const child = spawn(process.execPath, ['dist/beechlift.cjs', ...args], { stdio: 'inherit' });
  children.push(child);
  child.once('exit', (code) => {
    if (code === 0) resolve();
    else reject(new Error(`beechlift ${args[0]} exited with code ${code}, expected 0`));
  });
});

const requestStream = async (
  entry: string,
  tier: string,
  prompt: string,
  tokens: number,
): Promise<string> => {
  const response = await request(`http://${entry}/v1/chat/completions`, {
    method: 'POST',
    headers: {
      authorization: `Bearer ${CLIENT_KEY}`,
      'content-type': 'application/json',
      'beechlift-tier': tier,
      'idempotency-key': `demo-${tier}`,
    },
    body: JSON.stringify({
      model: 'guide', stream: true, max_tokens: tokens, messages: [{ role: 'user', content: prompt }],
    }),
  });
  const text = await response.body.text();
  if (response.statusCode !== 200) throw new Error(`request failed with status ${response.statusCode}, expected 200: ${text}`);
  return text.split('\n')
    .filter((line) => line.startsWith('data: {'))
    .map((line) => JSON.parse(line.slice(6)) as StreamChunk)
    .map(({ choices }) => choices[0]?.delta.content ?? '')
    .join('');
};

const readSpans = (): Span[] => ['e1', 'e2']
  .flatMap((id) => {
    try {
      return readFileSync(join(folder, `${id}.trace`), 'utf8').trim().split('\n');
    } catch {
      return [];
    }
  })
  .map((line) => JSON.parse(line) as Span);

const formatTrace = (spans: readonly Span[], parentId: string, depth: number): string[] => spans
  .filter((span) => span.parentId === parentId)
  .sort((a, b) => a.startMs - b.startMs)
  .flatMap((span) => [
    `${'  '.repeat(depth + 2)}${span.hop} at ${span.attributes.process}, ${span.durationMs.toFixed(1)} ms${span.attributes.worker ? `, worker ${span.attributes.worker}` : ''}`,
    ...formatTrace(spans, span.spanId, depth + 1),
  ]);

const printAnswer = async (
  title: string,
  entry: string,
  tier: string,
  prompt: string,
  tokens: number,
): Promise<void> => {
  const startedAt = performance.now();
  const answer = await requestStream(entry, tier, prompt, tokens);
  const words = answer.trim().split(' ');
  console.log(`\n${title} (tier ${tier}), ${words.length} tokens in ${(performance.now() - startedAt).toFixed(0)} ms:`);
  console.log(`  ${words.slice(0, 6).join(' ')}${words.length > 6 ? ' …' : ''}`);
  const findRootSpan = () => readSpans().find(
    (span) => span.hop === 'caller' && span.attributes.tier === tier,
  );
  await waitUntil('the trace is written', async () => findRootSpan() !== undefined);
  const rootSpan = findRootSpan();
  const spans = readSpans().filter(({ traceId }) => traceId === rootSpan?.traceId);
  console.log(formatTrace(spans, '', 0).join('\n'));
};

const startSite = async (): Promise<{ entries: string[]; control: string }> => {
  const [control, admin, caller1, caller2, peer1, peer2] = await Promise.all(
    Array.from({ length: 6 }, findFreeAddress),
  ) as [string, string, string, string, string, string];
  spawnProcess(['dist/beechlift.cjs', 'control', writeJson('control.json', {
    id: 'c1', zone: 'az-1', address: control, adminAddress: admin, replicas: [{ id: 'c1', address: control, zone: 'az-1' }], dataFolder: join(folder, 'data'), firstOperatorKeyHash: hashKey(OPERATOR_KEY),
  })]);
  const entries = [
    {
      id: 'e1', zone: 'az-1', callerAddress: caller1, peerAddress: peer1,
    },
    {
      id: 'e2', zone: 'az-2', callerAddress: caller2, peerAddress: peer2,
    },
  ];
  entries.forEach((entry) => spawnProcess(['dist/beechlift.cjs', 'entry', writeJson(`${entry.id}.json`, {
    ...entry,
    control: [
      { id: 'c1', address: control, zone: 'az-1' },
    ],
    traceFile: join(folder, `${entry.id}.trace`),
  })]));
  const engine = {
    pool: 'engines', models: ['guide'], entries: [caller1, caller2], announceMs: 500, loadLagMs: 1_000, recordFile: '', cacheSize: 64,
  };
  spawnProcess(['dist/engine.cjs', JSON.stringify({
    ...engine, id: 'fast-1', hardware: 'fast', prefillMs: 0.05, decodeMs: 5, slots: 8,
  })]);
  spawnProcess(['dist/engine.cjs', JSON.stringify({
    ...engine, id: 'slow-1', hardware: 'slow', prefillMs: 0.2, decodeMs: 20, slots: 4,
  })]);
  return { entries: [caller1, caller2], control };
};

const countWorkers = async (entry: string): Promise<number> => {
  const response = await request(`http://${entry}/v1/status`);
  const status = await response.body.json() as { owned: { workers: unknown[] }[] };
  return status.owned.flatMap(({ workers }) => workers).length;
};

const runSite = async (): Promise<void> => {
  const { entries, control } = await startSite();
  const [firstEntry] = entries as [string];
  console.log('submit');
  await runCli(
    [
      'submit',
      writeJson('manifest.json', makeManifest()),
      '--control',
      control,
      '--key',
      OPERATOR_KEY,
    ],
  );
  await waitUntil('the entries list both engines', async () => {
    const counts = await Promise.all(entries.map(countWorkers));
    return counts.reduce((sum, count) => sum + count, 0) === 2;
  });
  console.log('\nlocate');
  await runCli(['locate', '--entry', firstEntry, '--key', CLIENT_KEY, '--zone', 'az-1']);
  await printAnswer('A kiosk question', firstEntry, 'door', 'Which room is booking 4711 in, and what is its door code?', 24);
  await printAnswer('A bale history', firstEntry, 'history', 'Gin 12, bale 90417: weighed, graded, moved. '.repeat(120), 120);
  if (!keepsRunning) return;
  console.log(`\nthe site is still running; try\ncurl -N http://${firstEntry}/v1/chat/completions -H 'authorization: Bearer ${CLIENT_KEY}' -H 'content-type: application/json' -d '{"model":"guide","stream":true,"max_tokens":20,"messages":[{"role":"user","content":"Where is breakfast?"}]}'`);
  await new Promise(() => {
    setInterval(() => undefined, 60_000);
  });
};

['SIGINT', 'SIGTERM'].forEach((signal) => process.on(signal, () => {
  stopAll().finally(() => process.exit(130));
}));

runSite()
  .then(() => stopAll())
  .then(() => process.exit(0))
  .catch(async (error: unknown) => {
    console.error(error instanceof Error ? error.message : error);
    await stopAll();
    process.exit(1);
  });
