/**
 * The operator numbers its configs with the time in nanoseconds and sends two in quick succession.
 * Both are acknowledged. Then it reads the config back, and clients send requests.
 */
import { Buffer } from 'node:buffer';
import { randomUUID } from 'node:crypto';
import process from 'node:process';
import { setTimeout as pause } from 'node:timers/promises';
import { URL } from 'node:url';
import { sendRequest } from '../lib/http.mjs';
import { Record } from '../lib/record.mjs';
import { Server } from '../lib/server.mjs';
import { Site } from '../lib/site.mjs';

const hasTrouble = process.env.TROUBLE !== '0';
const HOST = 'ficu95.example';
const FIRST_VERSION = '7';
const VERSIONS = hasTrouble ? ['1764866186123456789', '1764866186123456829'] : ['9', '14'];
const LEAD_MS = 4_000;
const APPLY_MS = 2_000;
const READ_MS = 3_000;

const record = new Record();
const site = new Site(2);

/** Builds a config; its version stands in the text as it is. */
const buildConfig = (version, service) => Buffer.from(JSON.stringify({
  version: 'VERSION',
  routes: [{
    name: 'r-plain', host: HOST, path_prefix: '/puxa403/', route_kind: 'idempotent', timeout_ms: 1_500, target_latency_ms: 193, priority: 2, service, max_attempts: 2, public: false,
  }],
  services: ['wuno96b', 'huvo11a'].map((name) => ({
    name, health_path: '/healthz', max_connections: 96, protocol: 'h1', tls: false,
  })),
  limits: {
    max_header_bytes: 16_384,
    max_body_bytes: 4_194_304,
    header_timeout_ms: 3_000,
    idle_timeout_ms: 15_000,
  },
}).replace('"VERSION"', version));

const makeServer = (service) => new Server({
  service,
  host: site.serverHost,
  zone: 'greenville',
  slots: 6,
  queue: 24,
  operators: site.operators,
  report: ({ id, server }) => record.add(`run ${id} at ${server.id} of ${server.service}`),
});

/** Sends requests to all entries; resolves with the number of successes. */
const askEntries = async () => {
  const answers = await Promise.all(site.callerAddresses.map(async (address) => {
    const id = randomUUID().replaceAll('-', '').slice(0, 16);
    record.add(`sent ${id} to ${address}`);
    const answer = await sendRequest(address, {
      method: 'GET',
      path: '/puxa403/2f',
      headers: { Host: HOST, 'Attempt-Id': id, 'Deadline-Ms': '1500' },
      timeoutMs: 1_500,
    }).catch(({ message }) => ({ status: message, body: '' }));
    record.add(`answered ${id} ${answer.status} ${answer.body.toString().slice(0, 120)}`);
    return answer.status;
  }));
  return answers.filter((status) => status === 200).length;
};

const publish = async (version, service) => {
  const status = await site.publish(buildConfig(version, service));
  record.print(`config ${version} (route to ${service}): ${status}`);
  return status;
};

const readVersion = async () => /"version":(\d+)/.exec((await site.readConfig())?.toString() ?? '')?.[1];

const run = async () => {
  await site.open();
  const isFirstTaken = await publish(FIRST_VERSION, 'wuno96b') === 200;
  const servers = [makeServer('wuno96b'), makeServer('huvo11a')];
  await Promise.all(servers.map((server) => server.open()));
  await pause(LEAD_MS);
  if (!isFirstTaken || await askEntries() === 0) return 2;
  const statuses = [
    await publish(VERSIONS[0], 'huvo11a'),
    await publish(VERSIONS[1], 'wuno96b'),
  ];
  await pause(APPLY_MS + READ_MS);
  const version = await readVersion();
  record.print(`read back: version ${version}`);
  await pause(READ_MS);
  const last = await readVersion();
  record.print(`read back: version ${last}`);
  record.print(`${await askEntries()} of ${site.callerAddresses.length} entries serve`);
  servers.forEach((server) => server.close());
  // A refusal is allowed: then the version before it remains in force.
  const accepted = [FIRST_VERSION, ...VERSIONS.filter((unused, index) => statuses[index] === 200)];
  return last === accepted.at(-1) ? 0 : 1;
};

const code = await run().catch((error) => {
  record.print(`could not run: ${error.stack}`);
  return 2;
});
await site.close();
record.write(new URL('record.txt', import.meta.url));
process.exit(code);
