import { setTimeout as pause } from 'node:timers/promises';
import {
  afterEach, describe, expect, it,
} from 'vitest';
import { waitFor } from '../fakes/controlSite';
import { FATAL_TEXT, RESET_TEXT, STREAM_TEXT } from '../fakes/fragileServer';
import type { Route } from '../../src/manifest/routing';
import { RoutedSite } from '../fakes/routedSite';
import type { SiteAnswer } from '../fakes/routedSite';
import { makeRoute } from '../fakes/routings';

const SERVERS = 5;
const ENTRIES = 3;
const SENDS = 30;
const GAP_MS = 75;
/** Three that crash servers, those in flight while the third crash is reported, and retries. */
const MAX_FATAL_REQUESTS = 8;
/** Requests that arrive before the entries lose their leases. */
const LEADERLESS_SENDS = 18;
/** Delay of the replica that starts last, in milliseconds. */
const LATE_MS = 1_000;
/** Time in which suspects are written to the disks, in milliseconds. */
const STORE_MS = 700;

describe('a request that crashes every server that runs it', () => {
  let site: RoutedSite | undefined;

  const start = async (
    isEngine: boolean,
    keepsId = false,
    route: Partial<Route> = {},
  ): Promise<RoutedSite> => {
    site = await RoutedSite.start({
      services: [{ name: 'rooms', maxConnections: 100, isEngine }],
      routes: [makeRoute({ timeoutMs: 2_000, ...route })],
    }, ENTRIES);
    await site.addServers(SERVERS, keepsId);
    return site;
  };

  const sendInTurn = async (started: RoutedSite, body: string, count: number): Promise<void> => {
    const sends = Array.from({ length: count }, async (unused, position) => {
      await pause(position * GAP_MS);
      await started.send(position, body);
    });
    await Promise.all(sends);
  };

  afterEach(async () => {
    await site?.close();
    site = undefined;
  });

  const checkQuarantine = async (started: RoutedSite, body = FATAL_TEXT): Promise<void> => {
    await sendInTurn(started, body, SENDS);
    const before = started.fatalCount;
    expect(before).toBeLessThanOrEqual(MAX_FATAL_REQUESTS);
    const answers = await Promise.all(
      Array.from({ length: ENTRIES }, (unused, entry) => started.send(entry, body)),
    );
    expect(answers.map(({ status, code }) => `${status} ${code}`))
      .toEqual(Array.from({ length: ENTRIES }, () => '503 requestQuarantined'));
    expect(started.fatalCount).toBe(before);
    expect((await started.send(0, 'harmless')).status).toBe(200);
  };

  // The request is sent again to any entry and crashes one engine after another.
  it('should reach few engines, and none once three have crashed', async () => {
    await checkQuarantine(await start(true));
  });

  // The same at servers that entries choose without the leader.
  it('should reach few other servers, and none once three have crashed', async () => {
    await checkQuarantine(await start(false));
  });

  // Entries that choose servers by themselves must not treat each attempt as the first one.
  it('should reach few engines while no leader is reachable', async () => {
    const started = await start(true, false, { kind: 'stream', isResumable: true });
    await Promise.all([0, 1].map((position) => started.control.stop(position)));
    await waitFor(() => started.control.findLeader() === undefined, 'nobody leads');
    await sendInTurn(started, `${FATAL_TEXT} ${STREAM_TEXT}`, LEADERLESS_SENDS);
    expect(started.fatalCount).toBeGreaterThan(0);
    expect(started.fatalCount).toBeLessThanOrEqual(MAX_FATAL_REQUESTS);
  });

  // Servers crash in the middle of a stream, which the entry would resume at another server.
  it('should reach few engines with a stream that may be resumed', async () => {
    const started = await start(true, false, { kind: 'stream', isResumable: true });
    await checkQuarantine(started, `${FATAL_TEXT} ${STREAM_TEXT}`);
  });

  // Connections that are reset by running servers must not make a request suspect.
  it('should not make a request suspect whose connections are reset by running servers', async () => {
    const started = await start(true);
    await sendInTurn(started, RESET_TEXT, 6);
    expect(await started.listSuspects()).toEqual([]);
    expect((await started.send(0, RESET_TEXT)).code).not.toBe('requestQuarantined');
  });

  // Servers restart with the same id, so that only the start time distinguishes the incarnations.
  it('should count the incarnations of a server that keeps its id', async () => {
    await checkQuarantine(await start(true, true));
  });

  // A new leader and a new entry must know of the quarantined request.
  it('should still be refused after a change of leaders, also at a new entry', async () => {
    const started = await start(true);
    await sendInTurn(started, FATAL_TEXT, SENDS);
    const before = started.fatalCount;
    await started.control.stop(await started.control.waitForLeader());
    await started.control.waitForLeader();
    await started.addEntry();
    const codes = await Promise.all(
      Array.from({ length: started.entryCount }, async (unused, entry) => (
        (await started.send(entry, FATAL_TEXT)).code)),
    );
    expect(codes).toEqual(Array.from({ length: ENTRIES + 1 }, () => 'requestQuarantined'));
    expect(started.fatalCount).toBe(before);
  });

  // The lost leader had counted single crashes, which must not be lost with it.
  it('should have its crashes added up over a change of leaders', async () => {
    const started = await start(true);
    await started.send(0, FATAL_TEXT);
    await started.control.stop(await started.control.waitForLeader());
    await started.control.waitForLeader();
    await sendInTurn(started, FATAL_TEXT, SENDS);
    expect(started.fatalCount).toBeLessThanOrEqual(MAX_FATAL_REQUESTS);
    expect((await started.listSuspects())[0]?.refusedMs).toBeGreaterThan(0);
  });

  // A power loss of all replicas must not clear the quarantine.
  it('should still be refused after a restart of all control replicas', async () => {
    const started = await start(true);
    await sendInTurn(started, FATAL_TEXT, SENDS);
    await pause(STORE_MS);
    await started.control.restartAll();
    const before = started.fatalCount;
    const entry = await started.addEntry();
    expect((await started.send(entry, FATAL_TEXT)).code).toBe('requestQuarantined');
    expect(started.fatalCount).toBe(before);
  });

  // The suspects on one disk must survive a leader whose own disk has lost them.
  it('should still be refused if only one replica has stored it after a power loss', async () => {
    const started = await start(true);
    await sendInTurn(started, FATAL_TEXT, SENDS);
    const [{ fingerprint = '' } = {}] = await started.listSuspects();
    await waitFor(() => started.control.hasTextInAllFiles('suspects.log', fingerprint), 'all replicas remember it');
    await started.control.restartWithOneCopy('suspects.log', LATE_MS);
    const before = started.fatalCount;
    await waitFor(async () => (await started.listSuspects()).length > 0, 'the leader hears of it');
    const entry = await started.addEntry();
    expect((await started.send(entry, FATAL_TEXT)).code).toBe('requestQuarantined');
    expect(started.fatalCount).toBe(before);
  });

  // All other requests that run on a crashing server are innocent.
  it('should not make other requests refused, which are served once it is quarantined', async () => {
    const started = await start(true);
    const answers: SiteAnswer[] = [];
    const sendHonest = Array.from({ length: 4 * SENDS }, async (unused, position) => {
      await pause(position * (GAP_MS / 4));
      answers[position] = await started.send(position, `honest ${position}`);
    });
    await Promise.all([sendInTurn(started, FATAL_TEXT, SENDS), ...sendHonest]);
    expect(answers.filter(({ code }) => code === 'requestQuarantined')).toHaveLength(0);
    expect(answers.slice(-SENDS).map(({ status }) => status))
      .toEqual(Array.from({ length: SENDS }, () => 200));
  });
});
