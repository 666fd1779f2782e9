import {
  afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import { RoutedSite } from '../fakes/routedSite';
import { makeRoute } from '../fakes/routings';
import { SeverableNetwork } from '../fakes/severableNetwork';

/** Shorter than the time in which a connection must open. */
const TIMEOUT_MS = 200;

describe('a request that no server was sent until its deadline', () => {
  let site: RoutedSite;
  const network = new SeverableNetwork();

  beforeEach(async () => {
    site = await RoutedSite.start({
      services: [{ name: 'rooms', maxConnections: 100, isEngine: false }],
      routes: [makeRoute({ kind: 'nonIdempotent', timeoutMs: TIMEOUT_MS })],
    }, 0);
    await site.addEntry(network.connect);
    await site.addServers(1);
  });

  afterEach(() => site.close());

  // Fault: it was answered as if it might have run, so callers could not send it again.
  it('should be refused as not run', async () => {
    network.setMode('silent');
    expect(await site.send(0, 'harmless')).toMatchObject({ status: 503, code: 'noBackend' });
    expect(site.servers[0]?.fatalTimes).toEqual([]);
  });
});
