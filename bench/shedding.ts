/**
 * Sends requests at a constant rate through one entry to three servers, some of which shed a share
 * of the requests and ask for backoff: `npm run bench:shedding`. Prints the served share, the share
 * that the entry refused, and the highest number of requests that a server received during one of
 * its backoffs.
 */
import { setTimeout as pause } from 'node:timers/promises';
import prand from 'pure-rand';
import { RelayRig } from '../tests/fakes/relayRig';
import { makeRoute, makeRouting } from '../tests/fakes/routings';
import { SheddingServer } from '../tests/fakes/sheddingServer';

const SERVER_COUNT = 3;
const RUN_SECONDS = 18;
const BACKOFF_MS = 3_000;
const SERVICE_TIME_MS = 20;
const SEED = 7;
const RATES = [4, 12, 40];
const DRAW_RANGE = 1_000;
const REQUEST = 'GET /orders/7 HTTP/1.1\r\nHost: shop.example\r\nx-id: r1\r\nx-key: k1\r\nconnection: close\r\n\r\n';

/** Number of servers that shed load, and the share of requests that each of them sheds. */
interface SheddingCase {
  readonly shedding: number;
  readonly share: number;
}

const CASES: readonly SheddingCase[] = [
  { shedding: 0, share: 0 },
  { shedding: 1, share: 0.3 },
  { shedding: 2, share: 0.3 },
  { shedding: 3, share: 0.3 },
  { shedding: 3, share: 0.1 },
  { shedding: 2, share: 1 },
  { shedding: 3, share: 1 },
];

const makeServer = (share: number, position: number): SheddingServer => {
  const random = prand.xoroshiro128plus(SEED + position);
  return new SheddingServer(() => {
    const drawn = prand.unsafeUniformIntDistribution(0, DRAW_RANGE - 1, random);
    return drawn < share * DRAW_RANGE
      ? { status: 503, restMs: BACKOFF_MS }
      : { delayMs: SERVICE_TIME_MS };
  });
};

const countByStatus = (answers: readonly string[], status: number): number => (
  answers.filter((answer) => answer.startsWith(`HTTP/1.1 ${status}`)).length);

const runCase = async ({ shedding, share }: SheddingCase, rate: number): Promise<string> => {
  const servers = Array.from({ length: SERVER_COUNT }, (unused, position) => (
    makeServer(position < shedding ? share : 0, position)));
  const routing = makeRouting({ routes: [makeRoute({ kind: 'nonIdempotent' })] });
  const rig = await RelayRig.start(routing, servers.map(({ script }) => script));
  const sends = Array.from({ length: RUN_SECONDS * rate }, async (unused, position) => {
    await pause((position * 1_000) / rate);
    return rig.send(REQUEST, 2_500);
  });
  const answers = await Promise.all(sends);
  await rig.close();
  const [served = 0, refused = 0] = [200, 503].map((status) => countByStatus(answers, status));
  const maxInBackoff = Math.max(...servers.map(({ maxDuringBackoff }) => maxDuringBackoff));
  return `${rate}/s, ${shedding} of ${SERVER_COUNT} shed ${share}: served ${(served / answers.length).toFixed(3)}, refused ${(refused / answers.length).toFixed(3)}, most in one backoff ${maxInBackoff}`;
};

const runRate = async (rate: number): Promise<void> => {
  const lines = await Promise.all(CASES.map((sheddingCase) => runCase(sheddingCase, rate)));
  lines.forEach((line) => console.log(line));
};

await RATES.reduce(async (previous, rate) => {
  await previous;
  await runRate(rate);
}, Promise.resolve());
