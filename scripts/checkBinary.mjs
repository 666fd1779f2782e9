/**
 * Runs the one binary as a user would: version, a good and a bad manifest, one request end to end.
 */
import { execFileSync, spawn } from 'node:child_process';
import { createHash } from 'node:crypto';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:http';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as pause } from 'node:timers/promises';

const BINARY = 'dist/beechlift';
const TRIES = 200;
const PAUSE_MS = 100;
const [CONTROL, ADMIN, CALLER, PEER] = [
  11_801, 11_802, 11_803, 11_804,
].map((port) => `127.0.0.1:${port}`);

const folder = mkdtempSync(join(tmpdir(), 'beechlift-binary-'));
const children = [];

const hashKey = (key) => createHash('sha256').update(key).digest('hex');

const writeJson = (name, document) => {
  const path = join(folder, name);
  writeFileSync(path, JSON.stringify(document));
  return path;
};

const readExit = (args) => {
  try {
    execFileSync(BINARY, args, { stdio: 'pipe' });
    return 0;
  } catch (error) {
    return error.status;
  }
};

const requireEqual = (what, found, expected) => {
  if (found !== expected) throw new Error(`${what}: expected ${expected}, got ${found}`);
  console.log(`ok: ${what}`);
};

const retry = async (what, run, left = TRIES) => {
  const result = await Promise.resolve().then(run).catch(() => undefined);
  if (result) return result;
  if (left === 0) throw new Error(`${what} did not happen`);
  await pause(PAUSE_MS);
  return retry(what, run, left - 1);
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
  requireEqual('check of a good manifest', readExit(['check', good]), 0);
  requireEqual(
    'check of a bad manifest',
    readExit(['check', writeJson('bad.json', { ...manifest, models: {} })]),
    1,
  );
  requireEqual('an unknown command', readExit(['fly']), 2);
  const replica = { id: 'c1', address: CONTROL, zone: 'az-1' };
  const run = (kind, settings) => {
    children.push(spawn(BINARY, [kind, writeJson(`${kind}.json`, settings)], { stdio: 'ignore' }));
  };
  run('control', {
    ...replica, adminAddress: ADMIN, replicas: [replica], dataFolder: join(folder, 'data'), firstOperatorKeyHash: hashKey('op'),
  });
  run('entry', {
    id: 'e1', zone: 'az-1', callerAddress: CALLER, peerAddress: PEER, control: [replica],
  });
  requireEqual('submit', readExit(['submit', good, '--control', CONTROL, '--key', 'op']), 0);
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
  requireEqual('one request end to end', answer.choices?.[0]?.text, 'room 17');
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
