import { setTimeout as pause } from 'node:timers/promises';
import {
  afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import { waitFor } from '../fakes/controlSite';
import { RoutedSite } from '../fakes/routedSite';
import { makeRoute } from '../fakes/routings';
import { sendAnswer } from '../fakes/scriptedServer';
import type { ServerScript } from '../fakes/scriptedServer';
import { SeverableNetwork } from '../fakes/severableNetwork';

const SERVERS = 3;
const ENTRIES = 3;
const CUT_ENTRY = 0;
const REQUEST_GAP_MS = 50;
const ANSWER_MS = 100;
const OPEN_CONNECTIONS = 60;
/** Callers may have left the entry this long after the cut began. */
const MAX_LISTED_MS = 1_500;
const MAX_RETURN_MS = 2_500;

describe('an entry that is cut off from all backend servers', () => {
  let site: RoutedSite;
  let networks: SeverableNetwork[];
  let traffic: NodeJS.Timeout;

  const sendTo = (entry: number): void => {
    site.send(entry, 'harmless').catch(() => undefined); // Checked by what callers are told.
  };

  beforeEach(async () => {
    networks = Array.from({ length: ENTRIES }, () => new SeverableNetwork());
    site = await RoutedSite.start({
      services: [{ name: 'rooms', maxConnections: 100, isEngine: false }],
      routes: [makeRoute({ kind: 'nonIdempotent', timeoutMs: 2_000 })],
    }, 0);
    await Promise.all(networks.map(({ connect }) => site.addEntry(connect)));
    await site.addServers(SERVERS);
    traffic = setInterval(() => networks.forEach((unused, entry) => sendTo(entry)), REQUEST_GAP_MS);
    await pause(300);
  });

  afterEach(async () => {
    clearInterval(traffic);
    await site.close();
  });

  const waitListed = (entries: readonly number[]): Promise<void> => waitFor(
    async () => JSON.stringify((await site.listEntries()).sort()) === JSON.stringify(entries),
    `callers are sent to the entries ${entries.join(', ')}`,
  );

  // Fault: an entry that reached no server was named to callers as long as it heard the leader, and
  // refused what they sent.
  it.each(['refused', 'silent'] as const)('should not be named to callers until it reaches one again: connections are %s', async (mode) => {
    const startedAt = performance.now();
    networks[CUT_ENTRY]?.setMode(mode);
    await waitListed([1, 2]);
    expect(performance.now() - startedAt).toBeLessThan(MAX_LISTED_MS);
    const healedAt = performance.now();
    networks[CUT_ENTRY]?.setMode('open');
    await waitListed([0, 1, 2]);
    expect(performance.now() - healedAt).toBeLessThan(MAX_RETURN_MS);
  });

  // Fault it guards against: an outage of the servers must not leave callers without any address.
  it('should be named to callers if no entry reaches a server', async () => {
    networks.forEach((network) => network.setMode('refused'));
    await pause(2 * MAX_LISTED_MS);
    await waitListed([0, 1, 2]);
  });
});

describe('an entry whose open connections to all backend servers fall silent', () => {
  let site: RoutedSite;
  let traffic: NodeJS.Timeout | undefined;

  afterEach(async () => {
    clearInterval(traffic);
    await site.close();
  });

  // Fault: an entry that reached no server learnt it only once its open connections were used up.
  it('should leave the addresses of callers', async () => {
    const networks = Array.from({ length: ENTRIES }, () => new SeverableNetwork());
    let isCut = false;
    const answerUnlessCut: ServerScript = (socket, received) => {
      const id = /x-id: (\S+)/.exec(received)?.[1] ?? '';
      if (isCut && received.includes(`x-entry: ${CUT_ENTRY}`)) return;
      setTimeout(() => sendAnswer(socket, id, 'done'), ANSWER_MS);
    };
    site = await RoutedSite.start({
      services: [{ name: 'rooms', maxConnections: 1_000, isEngine: false }],
      routes: [makeRoute({ kind: 'nonIdempotent', timeoutMs: 2_000, targetLatencyMs: 200 })],
    }, 0);
    await Promise.all(networks.map(({ connect }) => site.addEntry(connect)));
    await site.addScripted(...Array.from({ length: SERVERS }, () => answerUnlessCut));
    const sendAll = (count: number): Promise<unknown> => Promise.allSettled(
      Array.from({ length: count * ENTRIES }, (unused, position) => site.send(position, 'tea')),
    );
    // Opens more connections than the requests of the next seconds need.
    await sendAll(OPEN_CONNECTIONS);
    traffic = setInterval(() => sendAll(1), REQUEST_GAP_MS);
    isCut = true;
    networks[CUT_ENTRY]?.setMode('silent', true);
    const startedAt = performance.now();
    await waitFor(async () => !(await site.listEntries()).includes(CUT_ENTRY), 'callers are sent to the other entries');
    expect(performance.now() - startedAt).toBeLessThan(MAX_LISTED_MS);
  });
});
