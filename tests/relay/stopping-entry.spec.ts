import { setTimeout as pause } from 'node:timers/promises';
import {
  afterEach, describe, expect, it, vi,
} from 'vitest';
import { RelaySite } from '../../src/relay/relaySite';
import type { CallerResult, RawCaller } from '../fakes/rawCaller';
import {
  checkRefused, checkStatus, makeStoppingCalls, REACH_MS,
} from '../fakes/stoppingCalls';
import type { Headers } from '../fakes/stoppingCalls';
import {
  GRACE_MS, LOCATE_MS, StoppingSite, TOKENS_HEADER,
} from '../fakes/stoppingSite';
import type { StoppingSiteOptions } from '../fakes/stoppingSite';
import { findPath, makeStoppingRouting } from '../fakes/stoppingRoutes';
import type { StoppingRoute } from '../fakes/stoppingRoutes';

/** An answer that outlasts the grace. */
const LONG_MS = 1_500;
/** One whose last moments are long enough to send a request in them. */
const LONG_GRACE_MS = 4 * GRACE_MS;
const LONG_EVENTS = 60;
/** More than the limit of the document, and more than is on its way at once. */
const BODY_BYTES = 600_000;
const BODY_LIMIT = 100_000;

let site: StoppingSite;

const start = async (options: StoppingSiteOptions = {}): Promise<void> => {
  site = await StoppingSite.start({ routing: makeStoppingRouting(), ...options });
};

const { askFor, makeRequest } = makeStoppingCalls(() => site);

afterEach(async () => {
  vi.restoreAllMocks();
  await site.close();
});

describe('a request that comes while an entry leaves', () => {
  // Guards against an answer that was begun though it could not end, and is cut by the end.
  it.each<[StoppingRoute, Headers]>([
    ['long', {}],
    ['longOnce', {}],
    ['stream', { 'x-form': 'stream' }],
    ['resumable', { 'x-form': 'stream' }],
  ])('should be refused as not run on a route whose answers outlast the entry: %s', async (route, form) => {
    await start();
    const kept = await site.open();
    const headers = { ...form, 'x-lasts': LONG_MS };
    checkStatus(await askFor(route, headers, kept), 200);
    const stopping = site.stop();
    await pause(REACH_MS);
    const results = await Promise.all([
      askFor(route, headers, kept), askFor(route, headers),
    ]);
    results.forEach(checkRefused);
    expect(site.runs).toHaveLength(1);
    await stopping;
  });

  // Guards against a first guess at the pace of servers, which is not what the entry has seen.
  it.each<[string, Headers]>([
    ['which is not told', {}],
    ['which is told', { [TOKENS_HEADER]: LONG_EVENTS }],
  ])('should be refused as not run where nothing is known of how long it takes but its length, %s', async (name, told) => {
    await start();
    const kept = await site.open();
    checkStatus(await askFor('brief', {}, kept), 200);
    const stopping = site.stop();
    await pause(REACH_MS);
    const headers = { ...told, 'x-form': 'stream', 'x-lasts': LONG_MS };
    checkRefused(await askFor('stream', headers, kept));
    await stopping;
  });

  // Guards against refusals of all that comes, though callers are still sent here for a while.
  it.each<StoppingRoute>(['brief', 'briefOnce'])('should be served where its answer ends in time: %s', async (route) => {
    await start();
    const kept = await site.open();
    checkStatus(await askFor(route, {}, kept), 200);
    const stopping = site.stop();
    await pause(REACH_MS);
    const results = await Promise.all([askFor(route, {}, kept), askFor(route)]);
    results.forEach((result) => {
      checkStatus(result, 200);
      expect(result.answer?.headers.connection).toBe('close');
    });
    await stopping;
  });
});

describe('requests that are open when the grace is over', () => {
  // Guards against callers who see their connection closed and cannot know whether it ran.
  it.each<[string, StoppingRoute, Headers]>([
    ['plain', 'long', { 'x-lasts': 4 * LONG_MS }],
    ['plain, which may run once', 'longOnce', { 'x-lasts': 4 * LONG_MS }],
    ['stream without a head', 'stream', { 'x-form': 'stream', 'x-head-after': 4 * LONG_MS }],
    ['resumable stream without a head', 'resumable', { 'x-form': 'stream', 'x-head-after': 4 * LONG_MS }],
  ])('should be told that they may have run, at a server: %s', async (name, route, headers) => {
    await start();
    const asked = askFor(route, headers);
    await pause(REACH_MS);
    await site.stop();
    const result = await asked;
    checkStatus(result, 502);
    expect(JSON.parse(result.answer?.body ?? '')).toMatchObject({ error: { run: 'unknown' } });
    expect(result.answer?.headers.connection).toBe('close');
    expect(site.runs).toHaveLength(1);
  });

  /*
   * Guards requests that were held for a place: with the stream to the leader closed, they were
   * sent to a server that the entry chose by itself, and ended with the process a moment later.
   */
  it.each<StoppingRoute>(['long', 'longOnce', 'stream'])('should be refused as not run, and not run, while they wait for a place: %s', async (route) => {
    await start({
      isHeld: true,
      routing: makeStoppingRouting({
        services: [{ name: 'rooms', maxConnections: 100, isEngine: true }],
      }),
    });
    const asked = askFor(route, { 'x-lasts': LONG_MS });
    await pause(REACH_MS);
    expect(site.runs).toEqual([]);
    await site.stop();
    const result = await asked;
    await pause(REACH_MS);
    expect(site.runs).toEqual([]);
    checkRefused(result);
  });

  // Guards requests that were held until the entry has a lease.
  it('should be refused as not run while they wait for a lease', async () => {
    await start({ isLeased: false });
    const asked = askFor('long');
    await pause(REACH_MS);
    const stopping = site.stop();
    await pause(LOCATE_MS / 2);
    const late = askFor('long');
    await stopping;
    checkRefused(await asked);
    checkRefused(await late);
  });

  // Guards what comes after the others were given up: it was cut while it waited for a lease.
  it('should be refused as not run when they come in the last moments', async () => {
    await start({ graceMs: LONG_GRACE_MS });
    const kept = await site.open();
    checkStatus(await askFor('brief', {}, kept), 200);
    const streamed = askFor('stream', { 'x-form': 'stream', 'x-lasts': 2 * LONG_GRACE_MS });
    await pause(REACH_MS);
    const stopping = site.stop();
    await pause(0.92 * LONG_GRACE_MS);
    vi.spyOn(RelaySite.prototype, 'isServing', 'get').mockReturnValue(false);
    const result = await askFor('long', {}, kept);
    await Promise.all([stopping, streamed]);
    checkRefused(result);
  });

  // Guards all that is open against a leader whose answer cannot be taken in.
  it('should be answered where the leader cannot be told', async () => {
    await start({ isHeld: true });
    const asked = askFor('long', { 'x-lasts': LOCATE_MS });
    await pause(REACH_MS);
    vi.spyOn(RelaySite.prototype, 'applyReply').mockImplementation(() => {
      throw new Error('no such answer');
    });
    await site.stop();
    checkStatus(await asked, 200);
  });

  // Guards against a stream that is broken off and looks whole.
  it('should be broken off in the middle of a stream that runs on', async () => {
    await start();
    const asked = askFor('stream', { 'x-form': 'stream', 'x-lasts': 4 * LONG_MS });
    await pause(REACH_MS);
    await site.stop();
    const { answer, partial } = await asked;
    expect(answer).toBeUndefined();
    expect(partial).toContain('200');
  });
});

describe('an entry whose grace is shorter than callers may use an old answer', () => {
  // Guards against a process that is killed while it still serves callers as before.
  it('should answer what is open, and end, within the grace', async () => {
    const graceMs = LOCATE_MS / 2;
    await start({ graceMs });
    const asked = askFor('longOnce', { 'x-lasts': LONG_MS });
    await pause(REACH_MS);
    const signalAt = performance.now();
    await site.stop();
    expect(performance.now() - signalAt).toBeLessThan(graceMs + REACH_MS / 2);
    checkStatus(await asked, 502);
  });
});

describe('answers that are finished, for slow readers', () => {
  const fill = async (route: StoppingRoute): Promise<[RawCaller, Promise<CallerResult>]> => {
    const [server] = site.servers;
    if (server) server.isFull = () => site.countWaitingBytes() > 0;
    const caller = await site.open();
    const asked = caller.askHeld(makeRequest(route, { 'x-form': 'bulk' }));
    await Promise.race([server?.whenFilled, asked]);
    await pause(REACH_MS);
    expect(site.countWaitingBytes()).toBeGreaterThan(0);
    return [caller, asked];
  };

  // Guards the tail of an answer: a connection whose answer was ended counted as idle.
  it.each<StoppingRoute>(['stream', 'long'])('should be written to the end after the port is closed: %s', async (route) => {
    await start();
    const [caller, asked] = await fill(route);
    const stopping = site.stop();
    await pause(LOCATE_MS + REACH_MS);
    caller.resumeReading();
    checkStatus(await asked, 200);
    await stopping;
  });

  // Guards against a process that ends once no request is open, with bytes still in its sockets.
  it('should be written to the end while the grace lasts', async () => {
    await start({ graceMs: 4 * GRACE_MS });
    const [caller, asked] = await fill('stream');
    const stopping = site.stop();
    await pause(GRACE_MS);
    caller.resumeReading();
    checkStatus(await asked, 200);
    await stopping;
  });
});

describe('a refusal that closes its connection while the body still arrives', () => {
  const longBody = 'x'.repeat(BODY_BYTES);

  const limits = {
    headerBytes: 16_384, bodyBytes: BODY_LIMIT, headerTimeoutMs: 3_000, idleTimeoutMs: 15_000,
  };

  // Guards the refusal against a reset: bytes that nobody reads destroy what was sent before.
  it.each<[string, string, number]>([
    ['too long a body', findPath('brief'), 413],
    ['no route', '/nowhere/7', 404],
  ])('should reach the caller whole: %s', async (name, path, status) => {
    await start({ routing: makeStoppingRouting({ limits }) });
    const stopping = site.stop();
    const caller = await site.open();
    checkStatus(await caller.askSlowly({ id: 'e', path, body: longBody }), status);
    await stopping;
  });

  // Guards the same where too long a head is refused, at any time.
  it('should reach the caller whole: too long a head', async () => {
    await start();
    const caller = await site.open();
    const headers = { 'x-long': 'x'.repeat(20_000) };
    checkStatus(await caller.askSlowly({
      id: 'e', path: findPath('brief'), headers, body: longBody,
    }), 431);
  });

  // Guards the same for what a kept connection brings after the port is closed.
  it('should reach the caller whole: the entry leaves', async () => {
    await start();
    const kept = await site.open();
    const lastsMs = LOCATE_MS + 2 * REACH_MS;
    const streamed = askFor('stream', { 'x-form': 'stream', 'x-lasts': lastsMs }, kept);
    await pause(REACH_MS);
    const stopping = site.stop();
    checkStatus(await streamed, 200);
    const result = await kept.askSlowly({ ...makeRequest('brief'), body: longBody });
    if (result.answer?.status !== 200) checkRefused(result);
    await stopping;
  });
});
