import { setTimeout as pause } from 'node:timers/promises';
import {
  afterEach, describe, expect, it,
} from 'vitest';
import { countEvents, formatEvents } from '../fakes/pacedServer';
import type { CallerResult, RawCaller } from '../fakes/rawCaller';
import { checkRefused, makeStoppingCalls, MAX_DELIVERY_MS } from '../fakes/stoppingCalls';
import { makeStoppingRouting } from '../fakes/stoppingRoutes';
import type { StoppingRoute } from '../fakes/stoppingRoutes';
import { LOCATE_MS, StoppingSite, TOKENS_HEADER } from '../fakes/stoppingSite';

const GRACE_MS = 4_000;
const CALLERS = 8;
const BURST = 24;
/** Time by which each other running stream delays an event, in milliseconds. */
const LOAD_MS = 3;
/** Durations of streams at a server without load, in milliseconds. */
const SHORT_MS = 50;
const WARM_UP_MS = [100, 200, 300, 400, 500];
const LONG_MS = 1_500;
/** Duration of streams that take longer than the rest of the shutdown after `LATE_MS`. */
const LONG_AT_LAST_MS = 3_000;
const LATE_MS = 1_600;

let site: StoppingSite;

const { makeRequest } = makeStoppingCalls(() => site);

const send = (
  caller: RawCaller,
  route: StoppingRoute,
  lastsMs: number,
): Promise<CallerResult> => caller.send(makeRequest(route, {
  'x-form': 'stream', 'x-lasts': lastsMs, [TOKENS_HEADER]: countEvents(lastsMs),
}));

const isWhole = ({ answer }: CallerResult, lastsMs: number): boolean => (
  answer?.status === 200 && answer.body === formatEvents(countEvents(lastsMs)));

/** Sends streams of all warm-up durations over a connection, one after another. */
const warmUp = async (caller: RawCaller, [lastsMs, ...rest] = WARM_UP_MS): Promise<void> => {
  if (lastsMs === undefined) return;
  await send(caller, 'stream', lastsMs);
  await warmUp(caller, rest);
};

describe('streams on open connections of an entry that shuts down', () => {
  afterEach(() => site.close());

  const openCallers = async (): Promise<RawCaller[]> => {
    site = await StoppingSite.start({
      routing: makeStoppingRouting(), entries: 2, graceMs: GRACE_MS,
    });
    const callers = await Promise.all(Array.from({ length: CALLERS }, () => site.open()));
    await Promise.all(callers.map((caller) => warmUp(caller)));
    const [server] = site.servers;
    if (server) server.loadMs = LOAD_MS;
    return callers;
  };

  /** Shuts the entry down, and sends a stream from each caller and then a burst at the other. */
  const stopInBurst = async (
    callers: readonly RawCaller[],
    route: StoppingRoute,
    sentAfterMs: number,
  ): Promise<void> => {
    const others = await Promise.all(Array.from({ length: BURST }, () => site.open(1)));
    const stopping = site.stop();
    await pause(sentAfterMs);
    const asked = callers.map((caller) => send(caller, route, LONG_MS));
    await pause(MAX_DELIVERY_MS);
    const burst = others.map((caller) => send(caller, route, 2 * LONG_MS));
    const results = await Promise.all(asked);
    await stopping;
    results.filter((result) => !isWhole(result, LONG_MS)).forEach(checkRefused);
    others.forEach((caller) => caller.close());
    await Promise.all(burst);
  };

  // Fault: an entry that shut down began streams by the mean time of earlier ones, and aborted them
  // at its end when other requests slowed down their servers.
  it.each<StoppingRoute>(['stream', 'resumable'])('should be whole or refused if a burst slows down their servers: %s', async (route) => {
    const callers = await openCallers();
    await stopInBurst(callers, route, MAX_DELIVERY_MS);
  });

  // The same once callers can know other entries; a running stream keeps the connections open.
  it.each<StoppingRoute>(['stream', 'resumable'])('should be whole or refused if they come late and a burst slows down their servers: %s', async (route) => {
    const callers = await openCallers();
    const held = await site.open();
    const running = send(held, route, LONG_MS);
    await pause(MAX_DELIVERY_MS);
    await stopInBurst(callers, route, LOCATE_MS);
    await running;
  });

  // Fault: an entry that shut down began streams late because streams before them had been short,
  // and aborted them at its end.
  it('should be whole or refused if they come late and take longer than any before', async () => {
    site = await StoppingSite.start({ routing: makeStoppingRouting(), graceMs: GRACE_MS });
    const callers = await Promise.all(Array.from({ length: CALLERS }, () => site.open()));
    await Promise.all(callers.map((caller) => warmUp(caller, [SHORT_MS, SHORT_MS])));
    const other = await site.open();
    const openedBefore = send(other, 'stream', GRACE_MS);
    await pause(MAX_DELIVERY_MS);
    const stopping = site.stop();
    await pause(LATE_MS);
    const results = await Promise.all(callers.map((caller) => caller.send(makeRequest('stream', {
      'x-form': 'stream', 'x-lasts': LONG_AT_LAST_MS, [TOKENS_HEADER]: countEvents(SHORT_MS),
    }))));
    await Promise.all([openedBefore, stopping]);
    results.filter((result) => !isWhole(result, LONG_AT_LAST_MS)).forEach(checkRefused);
  });

  // A refusal costs callers a try, so what ends in time also under load must still be served.
  it('should be served if they end long before the entry does', async () => {
    site = await StoppingSite.start({ routing: makeStoppingRouting(), graceMs: GRACE_MS });
    const callers = await Promise.all(Array.from({ length: CALLERS }, () => site.open()));
    await Promise.all(callers.map((caller) => warmUp(caller)));
    const stopping = site.stop();
    await pause(MAX_DELIVERY_MS);
    const results = await Promise.all(callers.map((caller) => send(caller, 'stream', SHORT_MS)));
    await stopping;
    expect(results.filter((result) => !isWhole(result, SHORT_MS))).toEqual([]);
  });
});
