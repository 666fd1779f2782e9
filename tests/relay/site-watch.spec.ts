import { setTimeout as pause } from 'node:timers/promises';
import {
  afterEach, describe, expect, it, vi,
} from 'vitest';
import type { RoutingReader } from '../../src/manifest/routing';
import { RelaySite } from '../../src/relay/relaySite';
import { SiteWatch } from '../../src/relay/siteWatch';
import { makeLogger } from '../../src/telemetry/logger';
import type { Logger } from '../../src/telemetry/logger';
import { SuspensionWatch, systemClock } from '../../src/utils/clock';
import { RpcLink } from '../../src/wire/rpcLink';
import { waitFor } from '../fakes/controlSite';
import { FakeReplicas, LEASE_MS } from '../fakes/fakeReplicas';
import { findFreeAddress } from '../fakes/freeAddress';
import { makeRouting } from '../fakes/routings';

describe('the search of an entry for the leader of control', () => {
  let replicas: FakeReplicas | undefined;
  let watch: SiteWatch | undefined;

  const start = (
    seeds: readonly string[],
    readRouting: RoutingReader = () => ({ routing: makeRouting({}), faults: [] }),
    logger: Logger = makeLogger('test', 'silent'),
  ): RelaySite => {
    const suspension = new SuspensionWatch();
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
   * The leader of a site of two hundred entries dies. Each entry asked all five replicas, four to
   * five times a second: 800 questions a second for each replica that had to elect the next leader,
   * which took its whole share of a processor, and the election failed again and again.
   */
  it('should ask few replicas, and seldom, while they know no leader either', async () => {
    const asked = await listen();
    start(asked.addresses);
    await pause(2_000);
    // Three replicas, so that one answers where two are lost; once a second; and the first time.
    expect(asked.questions).toBeLessThanOrEqual(9);
  });

  it('should hear of a leader at once from those that it asks, and be served by it', async () => {
    const asked = await listen();
    const site = start(asked.addresses);
    await pause(500);
    const startedAt = systemClock.now();
    asked.lead(4);
    await waitFor(() => site.isServing, 'the entry has a lease');
    expect(systemClock.now() - startedAt).toBeLessThan(250);
  });

  // An entry ended, or asked no more, as a document could not be read.
  it('should go on asking after a document whose reading fails, and log it', async () => {
    const asked = await listen();
    const error = vi.fn<Logger['error']>();
    let left = 5;
    const site = start(asked.addresses, () => {
      left -= 1;
      if (left >= 0) throw new Error('cannot be read');
      return { routing: makeRouting({}), faults: [] };
    }, { ...makeLogger('test', 'silent'), error });
    asked.lead(2);
    await waitFor(() => site.isServing, 'the entry has a lease');
    expect(left).toBeLessThan(0);
    expect(error.mock.calls.map(([, fields]) => fields?.reason)).toContain('Error: cannot be read');
  });

  /*
   * All processes lose power together. An entry that is back before the replicas opened a fresh
   * connection to each of them every 40 ms, for as long as it had started itself.
   */
  it('should try replicas that are down less and less often', async () => {
    const calls = vi.spyOn(RpcLink.prototype, 'call');
    const addresses = await Promise.all(Array.from({ length: 3 }, findFreeAddress));
    start(addresses);
    await pause(2_000);
    // Pauses of 40, 80, 160 ms and so on: some ten rounds in two seconds, in place of fifty.
    expect(calls.mock.calls.length).toBeLessThanOrEqual(3 * 12);
  });

  /*
   * Two hundred entries asked the leader of control five times a second each, which filled it
   * without a single request. The more entries ask, the longer each lets its question be held.
   */
  it('should let its question be held longer, the more entries ask the same leader', async () => {
    const asked = await listen();
    asked.lead(0);
    const site = start(asked.addresses);
    await waitFor(() => site.isServing, 'the entry has a lease');
    await pause(300);
    const before = asked.questions;
    await pause(2_000);
    // 400 questions a second of 200 entries: two a second of each.
    expect(asked.questions - before).toBeLessThanOrEqual(5);
    expect(asked.holdMs).toBeLessThan(LEASE_MS / 3);
  });

  /*
   * An entry without a request woke 33 times a second: each end of its five connections pinged the
   * other every second, though four of them carry nothing and the fifth is watched by itself.
   */
  it('should exchange nothing but its questions while it stands by', async () => {
    const asked = await listen();
    asked.lead(0);
    const site = start(asked.addresses);
    await waitFor(() => site.isServing, 'the entry has a lease');
    await pause(1_500);
    const before = asked.countPieces();
    await pause(2_000);
    // Two questions a second, each a piece either way, and what the protocol says in between.
    expect(asked.countPieces() - before).toBeLessThanOrEqual(2 * (2 * 2 + 2));
  });
});
