/** A config lifts the limit of a tenant, and its requests are refused as before. */
import { dirname } from 'node:path';
import { setTimeout as pause } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { readNow } from '../lib-2/calls.mjs';
import { countStatuses, sendStream } from '../lib-2/callers.mjs';
import { buildConfig, TENANT } from '../lib-2/documents.mjs';
import { startEngines } from '../lib-2/limitedTenant.mjs';
import { runCase } from '../lib-2/runCase.mjs';
import { Site } from '../lib-2/site.mjs';

const ENTRIES = [11, 12, 13, 14];
const LIMITED = { ...TENANT, rate_per_s: 2_000, burst: 2_000 };
const UNLIMITED = { ...TENANT, rate_per_s: 0, burst: 0 };
/** The users' bound `config_apply_ms`. */
const APPLY_MS = 2_000;
const PHASE_MS = 15_000;
const REQUEST_INTERVAL_MS = 100;
const SIZE = { prompt: 3_000, output: 100 };
/** Refusals that are not counted, as for the rule DENIED: 5, and one in 500. */
const EXCUSED = 5;

const sendTraffic = async (site, endAt, answers = []) => {
  if (readNow() >= endAt) return answers;
  const machine = ENTRIES[answers.length % ENTRIES.length];
  answers.push(await sendStream(site.getEntryAddress(machine), SIZE));
  await pause(REQUEST_INTERVAL_MS);
  return sendTraffic(site, endAt, answers);
};

await runCase(dirname(fileURLToPath(import.meta.url)), async ({ hasTrouble, record, onEnd }) => {
  const site = await Site.open(ENTRIES);
  onEnd(() => site.close());
  await site.startAll(buildConfig(1, { tenants: [hasTrouble ? LIMITED : UNLIMITED] }));
  const servers = await startEngines(site, onEnd);
  record(`version 1 is acknowledged: ${hasTrouble ? 'the tenant has 2,000 tokens a second' : 'the tenant has no limit'}`);
  const before = await sendTraffic(site, readNow() + PHASE_MS);
  record(`${before.length} requests of 3,100 tokens, answers by status: ${JSON.stringify(countStatuses(before))}`);
  await site.publish(buildConfig(7, { tenants: [UNLIMITED] }));
  record('version 7 is acknowledged: rate_per_s 0, burst 0, which means no limit');
  await pause(APPLY_MS);
  const after = await sendTraffic(site, readNow() + 2 * PHASE_MS);
  const refused = after.filter(({ status }) => status === 429);
  record(`sent later than ${APPLY_MS} ms after that: ${after.length} requests, answers by status: ${JSON.stringify(countStatuses(after))}`);
  if (refused.length > 0) record(`last refusal: ${refused.at(-1).text.slice(0, 260)}`);
  record(`requests that ran: ${servers.reduce((sum, { runs }) => sum + runs.length, 0)}`);
  return refused.length > EXCUSED + after.length / 500;
});
