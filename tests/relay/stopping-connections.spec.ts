import { setImmediate as endTurn, setTimeout as pause } from 'node:timers/promises';
import {
  afterEach, describe, expect, it,
} from 'vitest';
import {
  checkRefused, checkStatus, makeStoppingCalls, MAX_DELIVERY_MS,
} from '../fakes/stoppingCalls';
import type { AnswerHeaders } from '../fakes/stoppingCalls';
import { LOCATE_MS, StoppingSite } from '../fakes/stoppingSite';
import { makeStoppingRouting } from '../fakes/stoppingRoutes';
import type { StoppingRoute } from '../fakes/stoppingRoutes';

/** Longer than an entry that shuts down waits for another request. */
const BLOCKED_MS = 400;

let site: StoppingSite;

const start = async (): Promise<void> => {
  site = await StoppingSite.start({ routing: makeStoppingRouting() });
};

const { sendTo, makeRequest } = makeStoppingCalls(() => site);

/** Blocks this process, as a busy or paused machine does. */
const suspendProcess = (ms: number): void => {
  const until = performance.now() + ms;
  while (performance.now() < until);
};

afterEach(() => site.close());

describe('an open connection to an entry that shuts down', () => {
  // A request arrives while the process is blocked: the entry must read input before it decides
  // that no more requests arrive.
  it('should answer a request that was written while the entry was busy', async () => {
    await start();
    const kept = await site.open();
    const lastsMs = LOCATE_MS + 2 * MAX_DELIVERY_MS;
    const streamed = sendTo('stream', { 'x-form': 'stream', 'x-lasts': lastsMs }, kept);
    await pause(MAX_DELIVERY_MS);
    const stopping = site.stop();
    checkStatus(await streamed, 200);
    await pause(MAX_DELIVERY_MS);
    // The event loop runs timers next, and reads sockets after them.
    await endTurn();
    const asked = sendTo('brief', {}, kept);
    suspendProcess(BLOCKED_MS);
    const next = await asked;
    if (next.answer?.status !== 200) checkRefused(next);
    await stopping;
  });

  // The HTTP server's own refusal would have no Retry-After.
  it.each<[string, number]>([
    ['before the port is closed', LOCATE_MS / 2],
    ['after the port is closed', LOCATE_MS + MAX_DELIVERY_MS],
  ])('should answer the next request after a stream that ends %s', async (name, lastsMs) => {
    await start();
    const kept = await site.open();
    const streamed = sendTo('stream', { 'x-form': 'stream', 'x-lasts': lastsMs + MAX_DELIVERY_MS }, kept);
    await pause(MAX_DELIVERY_MS);
    const stopping = site.stop();
    checkStatus(await streamed, 200);
    const next = await sendTo('brief', {}, kept);
    if (next.answer?.status === 200) expect(next.answer.headers.connection).toBe('close');
    else checkRefused(next);
    await stopping;
  });

  // Callers must not send another request on a connection that is about to close.
  it.each<[StoppingRoute, AnswerHeaders]>([
    ['long', { 'x-lasts': LOCATE_MS }],
    ['stream', { 'x-form': 'stream', 'x-head-after': LOCATE_MS }],
  ])('should be announced as closing by an answer whose head comes after the signal: %s', async (route, headers) => {
    await start();
    const asked = sendTo(route, headers);
    await pause(MAX_DELIVERY_MS);
    const stopping = site.stop();
    const result = await asked;
    checkStatus(result, 200);
    expect(result.answer?.headers.connection).toBe('close');
    await stopping;
  });

  // If the first answer closed the connection, the second request would run without an answer.
  it('should answer each of two requests that are written at once', async () => {
    await start();
    const kept = await site.open();
    checkStatus(await sendTo('brief', {}, kept), 200);
    const stopping = site.stop();
    await pause(MAX_DELIVERY_MS);
    const requests = [makeRequest('briefOnce'), makeRequest('briefOnce')];
    const first = await kept.sendPipelined(requests);
    const second = await kept.waitForAnswer(first.sentAt);
    [first, second].forEach((result) => checkStatus(result, 200));
    expect([first, second].map(({ answer }) => answer?.headers['x-id']))
      .toEqual(requests.map(({ id }) => id));
    expect(second.answer?.headers.connection).toBe('close');
    await stopping;
  });

  // A second signal of an operator or supervisor must not end open requests early.
  it('should end as after the first signal when a second one arrives', async () => {
    await start();
    const asked = sendTo('long', { 'x-lasts': 2 * LOCATE_MS });
    await pause(MAX_DELIVERY_MS);
    const first = site.stop();
    await pause(MAX_DELIVERY_MS);
    await Promise.all([first, site.stop()]);
    checkStatus(await asked, 200);
  });
});
