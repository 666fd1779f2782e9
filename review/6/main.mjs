/** A machine of control is replaced as planned, and its successor loses its disk soon after. */
import { dirname } from 'node:path';
import { setTimeout as pause } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { readNow, waitUntil } from '../lib-2/calls.mjs';
import { countStatuses, sendPlain } from '../lib-2/callers.mjs';
import { buildConfig, PLAIN_SERVICE } from '../lib-2/documents.mjs';
import { runCase } from '../lib-2/runCase.mjs';
import { makePlainAnswer, Server } from '../lib-2/server.mjs';
import { ADDED_REPLICA, REPLICAS, Site } from '../lib-2/site.mjs';

const ENTRIES = [11, 12];
const SERVERS = 3;
const SUCCESSOR = ADDED_REPLICA;
/** The users' bounds `catch_up_s` (4) and a little, and `recovery_s`. */
const CATCH_UP_MS = 6_000;
const RECOVERY_MS = 12_000;
/** From the stop of the old machine until the new one loses its disk, and how long it is down. */
const BETWEEN_MS = 1_000;
const DOWN_MS = 3_000;
const PROBE_MS = 20_000;
const CALL_INTERVAL_MS = 250;

/** Reads the config at all replicas, and sends requests and a config, for a while. */
const probe = async (site, machines, endAt, seen = { reads: [], answers: [], publishes: [] }) => {
  if (readNow() >= endAt) return seen;
  const machine = machines[seen.publishes.length % machines.length];
  const [reads, answers, publish] = await Promise.all([
    Promise.all(machines.map((replica) => site.readConfig(replica))),
    Promise.all(ENTRIES.map((entry) => sendPlain(site.getEntryAddress(entry)))),
    site.postControl(machine, '/v1/Configuration.Replace', buildConfig(9)),
  ]);
  seen.reads.push(...reads);
  seen.answers.push(...answers);
  seen.publishes.push(publish);
  await pause(CALL_INTERVAL_MS);
  return probe(site, machines, endAt, seen);
};

await runCase(dirname(fileURLToPath(import.meta.url)), async ({ hasTrouble, record, onEnd }) => {
  const site = await Site.open(ENTRIES, (name, text) => text.split('\n').forEach((line) => {
    const voters = /"voters":"([^"]*)".*replica set change started/.exec(line)?.[1];
    if (voters) record(`${name} logs a change to ${voters.split(' ').length} voters`);
  }));
  onEnd(() => site.close());
  const servers = Array.from({ length: SERVERS }, () => (
    new Server({ service: PLAIN_SERVICE, answer: makePlainAnswer(20) })));
  onEnd(() => servers.forEach((server) => server.stop()));
  await Promise.all(servers.map((server) => server.listen()));
  await site.startAll(buildConfig(1));
  await Promise.all(servers.map((server) => server.startHeartbeats(site)));
  await waitUntil(async () => {
    const { status } = await sendPlain(site.getEntryAddress(ENTRIES[0]));
    return status === 200;
  }, 'a request is served');
  await site.publish(buildConfig(5));
  record('version 5 is acknowledged');
  site.startControl(SUCCESSOR, false);
  record(`control-${SUCCESSOR} is added, with an empty disk`);
  await pause(CATCH_UP_MS);
  const leader = await site.findLeader();
  const old = REPLICAS.find((machine) => machine !== leader);
  record(`control-${leader} leads; control-${old} gets SIGTERM and is removed`);
  await site.endProcess(`control-${old}`, 'SIGTERM');
  await pause(BETWEEN_MS);
  if (hasTrouble) {
    await site.endProcess(`control-${SUCCESSOR}`);
    site.removeDisk(SUCCESSOR);
    record(`control-${SUCCESSOR} loses power and its disk`);
    await pause(DOWN_MS);
    site.startControl(SUCCESSOR, false);
    record(`control-${SUCCESSOR} is started again, with an empty disk`);
  }
  await pause(RECOVERY_MS);
  const machines = [...REPLICAS.filter((machine) => machine !== old), SUCCESSOR];
  const { reads, answers, publishes } = await probe(site, machines, readNow() + PROBE_MS);
  record(`${RECOVERY_MS} ms later, for ${PROBE_MS} ms, answers by status:`);
  record(`reads of the config at all replicas: ${JSON.stringify(countStatuses(reads))}; the last: ${reads.at(-1).text.slice(0, 120)}`);
  record(`requests to all entries: ${JSON.stringify(countStatuses(answers))}`);
  record(`attempts to send version 9: ${JSON.stringify(countStatuses(publishes))}`);
  return reads.every(({ status }) => status !== 200);
});
