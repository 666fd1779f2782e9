import { randomUUID } from 'node:crypto';
import { setTimeout as pause } from 'node:timers/promises';
import {
  afterEach, describe, expect, it,
} from 'vitest';
import { waitFor } from '../fakes/controlSite';
import { FATAL_TEXT } from '../fakes/fragileServer';
import { RoutedSite } from '../fakes/routedSite';
import type { SiteAnswer } from '../fakes/routedSite';
import { makeRoute } from '../fakes/routings';

const SERVERS = 8;
const ENTRIES = 3;
const GAP_MS = 40;
const REQUESTS = 150;
/** One request in so many has the part that crashes servers. */
const FATAL_EVERY = 8;
/** From then on after the fifth crash few requests with the part may reach a server. */
const WINDOW_MS = 3_000;
const MAX_LATE = 3;
const FATAL_PART = 'bad0';
/** Shared by all requests. */
const FIRST_PART = 'f00d';

describe('a part of prompts that crashes every server that answers it', () => {
  let site: RoutedSite | undefined;

  const start = async (): Promise<RoutedSite> => {
    site = await RoutedSite.start({
      services: [{ name: 'rooms', maxConnections: 100, isEngine: true }],
      routes: [makeRoute({ timeoutMs: 3_000, kind: 'idempotent', maxAttempts: 2 })],
    }, ENTRIES);
    await site.addServers(SERVERS);
    return site;
  };

  const sendPart = (started: RoutedSite, entry: number, part: string): Promise<SiteAnswer> => {
    const text = part === FATAL_PART ? FATAL_TEXT : 'harmless';
    return started.send(entry, `${text} ${randomUUID()}`, { 'x-parts': `${FIRST_PART},${part}` });
  };

  /** Sends requests, one in some with the part; returns the answers of the others. */
  const sendMixed = async (started: RoutedSite, count: number): Promise<SiteAnswer[]> => {
    const answers = await Promise.all(Array.from({ length: count }, async (unused, position) => {
      await pause(position * GAP_MS);
      const isFatal = position % FATAL_EVERY === 0;
      const answer = await sendPart(started, position, isFatal ? FATAL_PART : `50${position % 4}`);
      return isFatal ? [] : [answer];
    }));
    return answers.flat();
  };

  afterEach(async () => {
    await site?.close();
    site = undefined;
  });

  const countLate = ({ servers, fatalTimes }: RoutedSite): number => {
    const crashes = servers.flatMap(({ crashTimes }) => crashTimes).sort((a, b) => a - b);
    const fifth = crashes[4] ?? Infinity;
    return fatalTimes.filter((time) => time > fifth + WINDOW_MS).length;
  };

  // Engines crashed one after the other: no two requests were alike, so that each counted as new.
  it('should reach few servers, in whatever request', async () => {
    const started = await start();
    const answers = await sendMixed(started, REQUESTS);
    expect(countLate(started)).toBeLessThanOrEqual(MAX_LATE);
    const last = answers.slice(-answers.length / 4);
    expect(last.filter(({ status }) => status === 200).length).toBeGreaterThan(0.9 * last.length);
    expect(await sendPart(started, 0, FATAL_PART)).toMatchObject({ status: 503, code: 'requestQuarantined' });
  });

  // The first part stands in all requests, also in those that crash servers.
  it('should not be taken for a part that sound requests share', async () => {
    const started = await start();
    await sendMixed(started, REQUESTS);
    const suspects = await started.listSuspects();
    expect(suspects.filter(({ refusedMs }) => refusedMs > 0).map(({ fingerprint }) => fingerprint))
      .toEqual([expect.stringContaining(FATAL_PART)]);
  });

  it('should be known to the next leader and to an entry that has just started', async () => {
    const started = await start();
    await sendMixed(started, REQUESTS / 2);
    const before = started.fatalCount;
    await started.control.stop(await started.control.waitForLeader());
    await started.control.waitForLeader();
    const entry = await started.addEntry();
    await pause(500);
    await sendPart(started, entry, FATAL_PART);
    expect(started.fatalCount).toBe(before);
  });

  // Several servers that fail at one moment are no reason to hold up what they had in common.
  it('should not be suspected where servers fail together for another reason', async () => {
    const started = await start();
    const answers = Array.from({ length: 60 }, async (unused, position) => {
      await pause(position * GAP_MS);
      return sendPart(started, position, `50${position % 4}`);
    });
    await pause(600);
    await Promise.all(started.servers.slice(0, 3).map((server) => server.crash()));
    const statuses = (await Promise.all(answers)).map(({ status }) => status);
    expect(statuses.filter((status) => status === 200).length).toBeGreaterThan(50);
    await waitFor(async () => (await started.listSuspects()).every(({ refusedMs }) => refusedMs === 0), 'nothing is refused');
  });
});
