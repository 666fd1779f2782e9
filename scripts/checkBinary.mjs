/**
 * Tests the single executable from the command line: exit codes for a valid manifest, an invalid
 * manifest and an unknown command, and one request end to end.
 */
import { execFileSync, spawn } from 'node:child_process';
import { createHash } from 'node:crypto';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:http';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as pause } from 'node:timers/promises';

const BINARY = 'dist/beechlift';
const MAX_RETRIES = 200;
const RETRY_INTERVAL_MS = 100;
/** Ports below those that the system assigns; a block for each process that runs this check. */
const FIRST_PORT = 11_800;
const PORTS = 4;
const BLOCKS = 2_000;
const firstPort = FIRST_PORT + (process.pid % BLOCKS) * PORTS;
const [CONTROL, ADMIN, CALLER, PEER] = Array.from(
  { length: PORTS },
  (unused, index) => `127.0.0.1:${firstPort + index}`,
);

const folder = mkdtempSync(join(tmpdir(), 'beechlift-binary-'));
const children = [];

const hashKey = (key) => createHash('sha256').update(key).digest('hex');

const writeJson = (name, document) => {
  const path = join(folder, name);
  writeFileSync(path, JSON.stringify(document));
  return path;
};

const readExitCode = (args) => {
  try {
    execFileSync(BINARY, args, { stdio: 'pipe' });
    return 0;
  } catch (error) {
    return error.status;
  }
};

const requireEqual = (name, actual, expected) => {
  if (actual !== expected) throw new Error(`${name}: expected ${expected}, got ${actual}`);
  console.log(`ok: ${name}`);
};

const retry = async (name, run, remaining = MAX_RETRIES) => {
  const result = await Promise.resolve().then(run).catch(() => undefined);
  if (result) return result;
  if (remaining === 0) throw new Error(`${name} did not succeed within all retries`);
  await pause(RETRY_INTERVAL_MS);
  return retry(name, run, remaining - 1);
};

const engine = createServer((request, response) => {
  response.writeHead(200, { 'content-type': 'text/event-stream' });
  response.end('id: 0\ndata: {"choices":[{"index":0,"text":"room 17"}]}\n\ndata: [DONE]\n\n');
});

const runCheck = async () => {
  const manifest = {
    version: 1,
    operators: { pipeline: { keyHash: hashKey('op') } },
    tiers: { door: { rank: 0, firstTokenMs: 1_000, totalMs: 10_000 } },
    accounts: { kiosks: { keyHashes: [hashKey('key')], tiers: ['door'] } },
    models: { guide: {} },
    pools: { engines: { kind: 'model', models: ['guide'] } },
  };
  const good = writeJson('good.json', manifest);
  requireEqual('exit code for a valid manifest', readExitCode(['check', good]), 0);
  requireEqual(
    'exit code for an invalid manifest',
    readExitCode(['check', writeJson('bad.json', { ...manifest, models: {} })]),
    1,
  );
  requireEqual('exit code for an unknown command', readExitCode(['fly']), 2);
  const replica = { id: 'c1', address: CONTROL, zone: 'az-1' };
  const startProcess = (kind, settings) => {
    children.push(spawn(BINARY, [kind, writeJson(`${kind}.json`, settings)], { stdio: 'ignore' }));
  };
  startProcess('control', {
    ...replica, adminAddress: ADMIN, replicas: [replica], dataFolder: join(folder, 'data'), firstOperatorKeyHash: hashKey('op'),
  });
  startProcess('entry', {
    id: 'e1', zone: 'az-1', callerAddress: CALLER, peerAddress: PEER, control: [replica],
  });
  requireEqual('exit code of submit', readExitCode(['submit', good, '--control', CONTROL, '--key', 'op']), 0);
  await new Promise((resolve) => {
    engine.listen(0, '127.0.0.1', resolve);
  });
  const announcement = {
    id: 'g1', pool: 'engines', kind: 'model', address: `127.0.0.1:${engine.address().port}`, models: ['guide'], slots: 2, state: 'ready',
  };
  const post = (path, body) => fetch(`http://${CALLER}${path}`, {
    method: 'POST',
    headers: {
      authorization: 'Bearer key', 'content-type': 'application/json',
    },
    body: JSON.stringify(body),
  });
  await retry('the announcement', async () => (await post('/v1/announce', announcement)).ok);
  const response = await post('/v1/completions', { model: 'guide', prompt: 'which room' });
  const answer = await response.json();
  requireEqual('answer of one request end to end', answer.choices?.[0]?.text, 'room 17');
};

try {
  await runCheck();
} catch (error) {
  console.error(error.message);
  process.exitCode = 1;
} finally {
  children.forEach((child) => child.kill('SIGKILL'));
  engine.closeAllConnections();
  engine.close();
  rmSync(folder, { recursive: true, force: true });
}
