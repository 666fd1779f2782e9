import { setTimeout as pause } from 'node:timers/promises';
import {
  afterEach, describe, expect, it,
} from 'vitest';
import { countEvents, formatEvents } from '../fakes/pacedServer';
import type { CallerResult, RawCaller } from '../fakes/rawCaller';
import {
  checkRefused, checkStatus, makeStoppingCalls, MAX_DELIVERY_MS,
} from '../fakes/stoppingCalls';
import { makeStoppingRouting } from '../fakes/stoppingRoutes';
import type { StoppingRoute } from '../fakes/stoppingRoutes';
import { StoppingSite, TOKENS_HEADER } from '../fakes/stoppingSite';

const GRACE_MS = 4_000;
const CALLERS = 8;
const SHORT_MS = 50;
const WARM_UPS = [1, 2];
/** Time from a request to the first event of its stream, in milliseconds. */
const FIRST_EVENT_MS = 2_000;
/** Time after the signal at which callers know other entries, in milliseconds. */
const LATE_MS = 1_700;
/** A grace whose last tenth is long enough for an answer, and when a first event comes in it. */
const LONG_GRACE_MS = 8_000;
const LAST_EVENT_SHARE = 0.91;

let site: StoppingSite;

const { makeRequest } = makeStoppingCalls(() => site);

const send = (
  caller: RawCaller,
  route: StoppingRoute,
  headAfterMs = 0,
): Promise<CallerResult> => caller.send(makeRequest(route, {
  'x-form': 'stream', 'x-lasts': SHORT_MS, 'x-head-after': headAfterMs, [TOKENS_HEADER]: countEvents(SHORT_MS),
}));

const isWhole = ({ answer }: CallerResult): boolean => (
  answer?.status === 200 && answer.body === formatEvents(countEvents(SHORT_MS)));

const openCallers = async (graceMs: number): Promise<RawCaller[]> => {
  site = await StoppingSite.start({ routing: makeStoppingRouting(), graceMs });
  const callers = await Promise.all(Array.from({ length: CALLERS }, () => site.open()));
  await WARM_UPS.reduce<Promise<unknown>>(
    (before) => before.then(() => Promise.all(callers.map((caller) => send(caller, 'stream')))),
    Promise.resolve(),
  );
  return callers;
};

describe('streams whose first event comes late at an entry that shuts down', () => {
  afterEach(() => site.close());

  // Fault: streams were begun by the time of those before them, and answered with an unknown
  // outcome when their first event had not come after nine tenths of the grace.
  it.each([
    ['early', MAX_DELIVERY_MS], ['late', LATE_MS],
  ])('should be whole or refused if they are sent %s', async (name, sentAfterMs) => {
    const callers = await openCallers(GRACE_MS);
    const held = await site.open();
    const running = send(held, 'stream', FIRST_EVENT_MS);
    await pause(MAX_DELIVERY_MS);
    const stopping = site.stop();
    await pause(sentAfterMs);
    const results = await Promise.all(callers.map((caller) => send(caller, 'stream', FIRST_EVENT_MS)));
    await Promise.all([running, stopping]);
    results.filter((result) => !isWhole(result)).forEach(checkRefused);
  });

  // Fault: requests at a server were given up although their answers came while streams were still
  // passed on.
  it.each<StoppingRoute>(['stream', 'resumable'])('should be whole if they end before streams are aborted: %s', async (route) => {
    const callers = await openCallers(LONG_GRACE_MS);
    const asked = callers.map((caller) => send(caller, route, LAST_EVENT_SHARE * LONG_GRACE_MS));
    await site.stop();
    const results = await Promise.all(asked);
    results.forEach((result) => checkStatus(result, 200));
    expect(results.filter((result) => !isWhole(result))).toEqual([]);
  });
});
