import { setTimeout as pause } from 'node:timers/promises';
import {
  afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import { waitFor } from '../fakes/controlSite';
import { RoutedSite } from '../fakes/routedSite';
import { makeRoute } from '../fakes/routings';
import { SeverableNetwork } from '../fakes/severableNetwork';

const SERVERS = 3;
const ENTRIES = 3;
const CUT_ENTRY = 0;
const REQUEST_GAP_MS = 50;
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
