/** A tenant with a limit that asks for far more than that, and what runs for it. */
import { setTimeout as pause } from 'node:timers/promises';
import { readNow, waitUntil } from './calls.mjs';
import { findWorstWindow, sendStream } from './callers.mjs';
import { ENGINE_SERVICE, KEY, TENANT } from './documents.mjs';
import { makeStreamAnswer, Server } from './server.mjs';

const SERVERS = 6;
const LOOPS = 30;
const REFUSED_PAUSE_MS = 100;
/** Tokens of a request, unless a case names others. */
const USUAL_SIZE = { prompt: 3_000, output: 100 };

/** The users' bounds: `quota_window_s`, `quota_overshoot` and `quota_slack`. */
const WINDOW_MS = 8_000;
const OVERSHOOT = 0.1;
const SLACK = 190_000;

/** Starts the model engines of a site. */
export const startEngines = async (site, onEnd, size = USUAL_SIZE) => {
  const servers = Array.from({ length: SERVERS }, () => (
    new Server({ service: ENGINE_SERVICE, answer: makeStreamAnswer(30) })));
  onEnd(() => servers.forEach((server) => server.stop()));
  await Promise.all(servers.map((server) => server.listen()));
  await Promise.all(servers.map((server) => server.startHeartbeats(site)));
  await waitUntil(async () => {
    const { status } = await sendStream(site.getEntryAddress(site.entries[0]), size);
    return status === 200;
  }, 'a stream is served');
  return servers;
};

/** Callers of a tenant that send request after request to all entries until they are stopped. */
export class Demand {
  answers = [];

  isStopped = false;

  constructor(site, size = USUAL_SIZE, key = KEY) {
    this.size = size;
    this.key = key;
    this.loops = Array.from({ length: LOOPS }, (unused, number) => this.send(site, number));
  }

  async send(site, number) {
    if (this.isStopped) return;
    const machine = site.entries[number % site.entries.length];
    const answer = await sendStream(site.getEntryAddress(machine), this.size, this.key);
    this.answers.push(answer);
    if (answer.status !== 200) await pause(REFUSED_PAUSE_MS);
    await this.send(site, number + 1);
  }

  async stop() {
    this.isStopped = true;
    await Promise.all(this.loops);
  }
}

const countTokens = ({ headers }) => (
  String(headers['token-count']).split(',').reduce((sum, text) => sum + Number(text), 0));

/** Checks what ran for a tenant against the rule QUOTA; returns whether the rule was broken. */
export const checkQuota = (servers, { rate, burst }, record, tenant = TENANT.name) => {
  const checkedAt = readNow();
  const uses = servers.flatMap(({ runs }) => runs
    .filter(({ headers }) => headers.tenant === tenant)
    .map((run) => ({ at: run.at, units: countTokens(run) })));
  const worst = findWorstWindow(uses, WINDOW_MS);
  const plain = rate * (WINDOW_MS / 1_000) + burst;
  const bound = plain * (1 + OVERSHOOT) + SLACK;
  const largest = uses.reduce((most, { units }) => Math.max(most, units), 0);
  record(`requests that ran: ${uses.length}, of ${largest} tokens at most`);
  record(`most tokens in a window of ${WINDOW_MS} ms: ${worst.units}, the window ended ${Math.round(checkedAt - worst.endAt)} ms before this line`);
  record(`bound: (${rate} x 8 + ${burst}) x 1.1 + ${SLACK} = ${Math.round(bound)}`);
  return worst.units > bound;
};
