import { setTimeout as pause } from 'node:timers/promises';
import {
  afterEach, describe, expect, it, vi,
} from 'vitest';
import type { RoutingReader } from '../../src/manifest/routing';
import { RelaySite } from '../../src/relay/relaySite';
import { SiteWatch } from '../../src/relay/siteWatch';
import { makeLogger } from '../../src/telemetry/logger';
import type { Logger } from '../../src/telemetry/logger';
import { SuspensionDetector, systemClock } from '../../src/utils/clock';
import { RpcLink } from '../../src/wire/rpcLink';
import { waitFor } from '../fakes/controlSite';
import { FakeReplicas, LEASE_MS } from '../fakes/fakeReplicas';
import { findFreeAddress } from '../fakes/freeAddress';
import { SlowLeader } from '../fakes/slowLeader';
import { makeRouting } from '../fakes/routings';

describe('the search of an entry for the control leader', () => {
  let replicas: FakeReplicas | undefined;
  let watch: SiteWatch | undefined;

  const start = (
    seeds: readonly string[],
    readRouting: RoutingReader = () => ({ routing: makeRouting({}), faults: [] }),
    logger: Logger = makeLogger('test', 'silent'),
  ): RelaySite => {
    const suspension = new SuspensionDetector();
    const site = new RelaySite({
      entryId: 'e1',
      callerAddress: '10.0.0.1:80',
      zone: 'a',
      readRouting,
      clock: systemClock,
      suspension,
      logger,
      retryBounds: { ratio: 0.2, slack: 1_000, windowMs: 10_000 },
    });
    watch = new SiteWatch({
      site, readSeeds: () => seeds, clock: systemClock, suspension, logger,
    });
    watch.start();
    return site;
  };

  const listen = async (): Promise<FakeReplicas> => {
    replicas = new FakeReplicas();
    await replicas.listen();
    return replicas;
  };

  afterEach(() => {
    watch?.stop();
    replicas?.close();
    vi.restoreAllMocks();
  });

  /*
   * Fault: when the leader of a site with 200 entries crashed, each entry asked all five replicas
   * four to five times a second. The 800 requests a second used up the processor time of each
   * replica, so that the election of the next leader failed repeatedly.
   */
  it('should ask few replicas, and rarely, while they know no leader', async () => {
    const asked = await listen();
    start(asked.addresses);
    await pause(2_000);
    // The first search and one search a second, each with three replicas.
    expect(asked.watchRequestCount).toBeLessThanOrEqual(9);
  });

  it('should learn of a leader at once from the asked replicas and get its lease there', async () => {
    const asked = await listen();
    const site = start(asked.addresses);
    await pause(500);
    const startedAt = systemClock.now();
    asked.setLeader(4);
    await waitFor(() => site.isServing, 'the entry has a lease');
    expect(systemClock.now() - startedAt).toBeLessThan(250);
  });

  // Fault: after a change of leader, entries gave up requests that the new leader was about to
  // answer and sent them again. It never caught up, and entries had no lease for seconds.
  it('should wait for the late reply of a slow leader instead of asking again', async () => {
    const leader = new SlowLeader(800);
    await leader.listen();
    const site = start([leader.address]);
    await waitFor(() => site.isServing, 'the entry has a lease');
    const startedAt = systemClock.now();
    await waitFor(() => !site.isServing || systemClock.now() - startedAt > 4_000, '4 s are over');
    leader.close();
    expect(leader.unreadCount).toBe(0);
    expect(leader.requestCount).toBeLessThanOrEqual(7);
    expect(systemClock.now() - startedAt).toBeGreaterThan(4_000);
  });

  // Fault: an entry crashed or stopped its watch because a document could not be read.
  it('should continue after a document that cannot be read, and log the failure', async () => {
    const asked = await listen();
    const error = vi.fn<Logger['error']>();
    let left = 5;
    const site = start(asked.addresses, () => {
      left -= 1;
      if (left >= 0) throw new Error('cannot be read');
      return { routing: makeRouting({}), faults: [] };
    }, { ...makeLogger('test', 'silent'), error });
    asked.setLeader(2);
    await waitFor(() => site.isServing, 'the entry has a lease');
    expect(left).toBeLessThan(0);
    expect(error.mock.calls.map(([, fields]) => fields?.reason)).toContain('Error: cannot be read');
  });

  /*
   * Fault: after a power loss of the whole site, an entry that started before the replicas opened a
   * new connection to each of them every 40 ms.
   */
  it('should try unreachable replicas with increasing delays', async () => {
    const calls = vi.spyOn(RpcLink.prototype, 'call');
    const addresses = await Promise.all(Array.from({ length: 3 }, findFreeAddress));
    start(addresses);
    await pause(2_000);
    // Delays of 40, 80, 160 ms and so on: about ten rounds in two seconds instead of fifty.
    expect(calls.mock.calls.length).toBeLessThanOrEqual(3 * 12);
  });

  /*
   * Fault: 200 entries sent five watch requests a second each, which used up the processor time of
   * the leader without any caller. The more entries there are, the longer each lets the leader hold
   * its watch request.
   */
  it('should let its watch request be held longer, the more entries use the same leader', async () => {
    const asked = await listen();
    asked.setLeader(0);
    const site = start(asked.addresses);
    await waitFor(() => site.isServing, 'the entry has a lease');
    await pause(300);
    const before = asked.watchRequestCount;
    await pause(2_000);
    // 400 watch requests a second of 200 entries: two a second of each.
    expect(asked.watchRequestCount - before).toBeLessThanOrEqual(5);
    expect(asked.holdMs).toBeLessThan(LEASE_MS / 3);
  });

  /*
   * Fault: an idle entry woke up 33 times a second, because both ends of its five connections sent
   * a ping every second. Four of them are unused, and the fifth has a timeout of its own.
   */
  it('should exchange only watch requests while it is idle', async () => {
    const asked = await listen();
    asked.setLeader(0);
    const site = start(asked.addresses);
    await waitFor(() => site.isServing, 'the entry has a lease');
    await pause(1_500);
    const before = asked.countChunks();
    await pause(2_000);
    // Two watch requests a second, each one chunk in either direction, and protocol messages.
    expect(asked.countChunks() - before).toBeLessThanOrEqual(2 * (2 * 2 + 2));
  });
});
