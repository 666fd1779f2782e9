/**
 * Some answers of the servers have no length and end with their connection. Several entries are
 * killed at the same moment, a few times, while they pass streams on. Counts the clients that get
 * a part of a stream as a complete answer.
 */
import { Buffer } from 'node:buffer';
import { randomUUID } from 'node:crypto';
import { performance } from 'node:perf_hooks';
import process from 'node:process';
import { setTimeout as pause } from 'node:timers/promises';
import { URL } from 'node:url';
import { sendRequest } from '../lib/http.mjs';
import { Record } from '../lib/record.mjs';
import { Server } from '../lib/server.mjs';
import { Site } from '../lib/site.mjs';

const hasTrouble = process.env.TROUBLE !== '0';
const ENTRIES = 6;
const KILLED_ENTRIES = 3;
const KILLS = 14;
const KILL_INTERVAL_MS = 4_000;
const DOWN_MS = 500;
const SERVERS = 8;
/** Servers some of whose answers have no length, and the share of those answers. */
const UNFRAMED_SERVERS = 4;
const UNFRAMED_SHARE = 0.05;
const REQUESTS_PER_SECOND = 26;
const TRAFFIC_MS = 58_000;
const LEAD_MS = 4_000;
const PROMPT = 1_110;
const OUTPUT = 300;
const KEY = 'i9n73hh2b9wu3fexd9dn';
const HOST = 'ficu95.example';

const config = {
  version: 7,
  routes: [{
    name: 'r-stream', host: HOST, path_prefix: '/lohu930/', route_kind: 'streaming', timeout_ms: 15_000, target_latency_ms: 500, priority: 2, service: 'huvo11a', max_attempts: 1, public: false, sticky: true, resumable: false, itl_target_ms: 200,
  }],
  services: [{
    name: 'huvo11a', health_path: '/healthz', max_connections: 610, protocol: 'h1', tls: false, inference_engine: { slots: 7, kv_capacity: 697_587, models: [{ name: 'm' }] },
  }],
  limits: {
    max_header_bytes: 16_384,
    max_body_bytes: 4_194_304,
    header_timeout_ms: 3_000,
    idle_timeout_ms: 15_000,
  },
  tenants: [{
    name: 'hule930', api_keys: [KEY], priority: 1, unit: 'tokens', uncached_tokens: 200, rate_per_s: 0, burst: 0,
  }],
};

const record = new Record();
const site = new Site(ENTRIES);
const broken = [];
const counts = { whole: 0, failed: 0, refused: 0 };

const report = ({ id, server }) => record.add(`run ${id} at ${server.id}`);

/** Whether the body ends with the last event of the stream. */
const isWhole = (body) => {
  const last = /(\d+)\/(\d+)\n\n$/.exec(body);
  return last !== null && last[1] === last[2];
};

const recordAnswer = (id, answer) => {
  const { status, headers, body } = answer;
  if (status !== 200) {
    counts.refused += 1;
    record.add(`answered ${id} ${status}`);
  } else if (isWhole(body.toString())) {
    counts.whole += 1;
    record.add(`answered ${id} 200, whole`);
  } else {
    broken.push(id);
    const framing = headers['transfer-encoding'] ?? headers['content-length'] ?? 'no length';
    record.print(`answered ${id} 200 of ${headers['server-stamp']}, ended normally, ${framing}, but its body is a part: ${JSON.stringify(body.toString().slice(-60))}`);
  }
};

const sendStream = async () => {
  const id = randomUUID().replaceAll('-', '').slice(0, 16);
  const address = site.callerAddresses[Math.floor(Math.random() * ENTRIES)];
  record.add(`sent ${id} to ${address}`);
  await sendRequest(address, {
    method: 'POST',
    path: '/lohu930/2f',
    headers: {
      Host: HOST, 'Attempt-Id': id, Model: 'm', 'Token-Count': `${PROMPT},${OUTPUT}`, 'Prompt-Prefix': `5c1e07a2:60,${id}:${PROMPT - 60}`, 'Deadline-Ms': '15000', Authorization: `Bearer ${KEY}`,
    },
    body: Buffer.alloc(1_500, 'x'),
    timeoutMs: 15_000,
  }).then((answer) => recordAnswer(id, answer), ({ message }) => {
    counts.failed += 1;
    record.add(`failed ${id} ${message}`);
  });
};

/** Kills several entries at the same moment and starts them again, a few times. */
const killEntries = async (kills) => {
  await pause(KILL_INTERVAL_MS - DOWN_MS);
  const killed = site.entries
    .map((entry) => ({ entry, order: Math.random() }))
    .sort((one, other) => one.order - other.order)
    .slice(0, KILLED_ENTRIES)
    .map(({ entry }) => entry);
  record.add(`killed ${killed.map(({ name }) => name).join(' ')}`);
  await Promise.all(killed.map((entry) => site.stopMachine(entry)));
  await pause(DOWN_MS);
  killed.forEach((entry) => site.startMachine(entry));
  if (kills > 1) await killEntries(kills - 1);
};

const run = async () => {
  await site.open();
  if (await site.publish(config) !== 200) return 2;
  const servers = Array.from({ length: SERVERS }, (unused, index) => new Server({
    service: 'huvo11a',
    host: site.serverHost,
    zone: ['greenville', 'clarksdale', 'yazoo'][index % 3],
    slots: 7,
    queue: 42,
    isEngine: true,
    operators: site.operators,
    report,
    unframedShare: index < UNFRAMED_SERVERS ? UNFRAMED_SHARE : 0,
  }));
  await Promise.all(servers.map((server) => server.open()));
  await pause(LEAD_MS);
  const disrupted = hasTrouble ? killEntries(KILLS) : Promise.resolve();
  const open = [];
  const endAt = record.startedAt + LEAD_MS + TRAFFIC_MS;
  while (performance.now() < endAt) {
    open.push(sendStream());
    // eslint-disable-next-line no-await-in-loop
    await pause(1_000 / REQUESTS_PER_SECOND);
  }
  await disrupted;
  await Promise.race([Promise.all(open), pause(5_000)]);
  servers.forEach((server) => server.close());
  record.print(`${open.length} streams: ${JSON.stringify(counts)}, ${broken.length} parts that look complete`);
  if (counts.whole < open.length / 2) return 2;
  return broken.length > 0 ? 1 : 0;
};

const code = await run().catch((error) => {
  record.print(`could not run: ${error.stack}`);
  return 2;
});
await site.close();
record.write(new URL('record.txt', import.meta.url));
process.exit(code);
