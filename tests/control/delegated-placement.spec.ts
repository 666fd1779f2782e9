import { setTimeout as pause } from 'node:timers/promises';
import {
  afterEach, beforeEach, describe, expect, it, vi,
} from 'vitest';
import type { MockInstance } from 'vitest';
import { NO_TIMINGS } from '../../src/core/routing/placementTables';
import {
  PlaceRequest, SiteClient, SiteService, WatchRequest, WorkerAnnouncement,
} from '../../src/protocol/generated/beechlift';
import type { HubNews } from '../../src/protocol/generated/beechlift';
import { PlaceClient } from '../../src/relay/placeClient';
import { makeLogger } from '../../src/telemetry/logger';
import { systemClock } from '../../src/utils/clock';
import { LinkTable } from '../../src/wire/linkTable';
import { ControlSite, formatDocument, waitFor } from '../fakes/controlSite';

const REPLICAS = [0, 1, 2];
const SERVICE = 'rooms';
const SERVERS = 24;
const SLOTS = 4;
const ENTRIES = 4;
/** How long a request holds its slot, in milliseconds. */
const HOLD_MS = 30;
/** Interval of the requests of an entry, in milliseconds. */
const REQUEST_MS = 10;
const logger = makeLogger('test', 'silent');

/** An entry that places requests all the time, each as soon as it is due. */
class BusyEntry {
  answered = 0;

  unanswered = 0;

  private count = 0;

  private readonly timer: NodeJS.Timeout;

  constructor(readonly id: string, readonly client: PlaceClient) {
    this.timer = setInterval(() => {
      this.place().catch(() => undefined); // Never rejects.
    }, REQUEST_MS);
  }

  stop(): void {
    clearInterval(this.timer);
    this.client.close();
  }

  private async place(): Promise<void> {
    this.count += 1;
    const placeId = `${this.id}-${this.count}`;
    const reply = await this.client.place(PlaceRequest.fromPartial({
      placeId, entryId: this.id, service: SERVICE, targetMs: 1_000, remainingMs: 5_000, zone: 'a', promptTokens: 100, outputTokens: 10,
    }), systemClock.now() + 5_000);
    if (reply) this.answered += 1;
    else this.unanswered += 1;
    if (reply?.code !== 0) return;
    this.client.report({ placeId, phase: 'running', ...NO_TIMINGS });
    await pause(HOLD_MS);
    this.client.report({ placeId, phase: 'ended', ...NO_TIMINGS });
  }
}

describe('the slots of many servers', () => {
  let site: ControlSite;
  let leader = -1;
  let hub = -1;
  let links: LinkTable<SiteClient>;
  let entries: BusyEntry[] = [];
  let isLeaderKnown = true;
  /** Messages that replicas passed on to the leader. */
  let passedOn: MockInstance<(bytes: Buffer) => HubNews>;
  let watching: NodeJS.Timeout;

  const watchOnce = (): void => entries.forEach(({ id }) => {
    site.running.get(leader)?.node
      .watch(WatchRequest.fromPartial({ entryId: id, state: 'active', callerAddress: id }))
      .catch(() => undefined); // The leader may be stopping.
  });

  const countPassedOn = (): number => passedOn.mock.results
    .flatMap(({ value }) => (value as HubNews).news)
    .reduce((total, { message }) => total + (message?.requests.length ?? 0), 0);

  const countAnswered = (): number => entries.reduce((total, { answered }) => total + answered, 0);

  const announce = async (): Promise<void> => {
    await Promise.all(Array.from({ length: SERVERS }, (unused, index) => (
      site.findNode(leader).announce(WorkerAnnouncement.fromPartial({
        workerId: `w${index}`, service: SERVICE, address: `10.0.0.${index}:80`, slots: SLOTS, state: 'ready', sequence: 1,
      })))));
  };

  beforeEach(async () => {
    passedOn = vi.spyOn(SiteService.placeForMany, 'requestDeserialize');
    links = new LinkTable(SiteClient);
    isLeaderKnown = true;
    site = await ControlSite.open(REPLICAS.length);
    await Promise.all(REPLICAS.map((position) => site.start(position, true)));
    leader = await site.waitForLeader();
    hub = REPLICAS.find((position) => position !== leader) ?? -1;
    await site.findNode(leader).publish({
      document: formatDocument(1), deadlineMs: 3_000, forwarded: false,
    });
    await announce();
    await waitFor(() => site.findNode(hub).leaderAddress === site.getAddress(leader), 'the replica knows the leader');
    entries = Array.from({ length: ENTRIES }, (unused, index) => new BusyEntry(`e${index}`, new PlaceClient({
      entryId: `e${index}`,
      findLeader: () => (isLeaderKnown ? links.find(site.getAddress(leader)) : undefined),
      findHub: () => links.find(site.getAddress(hub)),
      countEntries: () => ENTRIES,
      clock: systemClock,
      logger,
    })));
    watching = setInterval(watchOnce, 200);
    await pause(2_500);
  });

  afterEach(async () => {
    clearInterval(watching);
    entries.forEach((entry) => entry.stop());
    vi.restoreAllMocks();
    links.close();
    await site.close();
  });

  // Each request of a site was a decision of its leader, which was full in bursts. Its leases then
  // lapsed, and entries refused requests or sent them to full servers.
  it('should not be granted by the leader one by one', async () => {
    const before = { passedOn: countPassedOn(), answered: countAnswered() };
    await pause(1_000);
    const answered = countAnswered() - before.answered;
    expect(answered).toBeGreaterThan(100);
    expect(countPassedOn() - before.passedOn).toBeLessThan(answered / 10);
  });

  it('should go on being granted while no leader answers', async () => {
    const unanswered = entries.map((entry) => entry.unanswered);
    isLeaderKnown = false;
    // Without a majority nobody is elected, this replica neither.
    await Promise.all(REPLICAS.filter((position) => position !== hub)
      .map((position) => site.stop(position)));
    const before = countAnswered();
    await pause(300);
    expect(countAnswered() - before).toBeGreaterThan(50);
    expect(entries.map((entry) => entry.unanswered)).toEqual(unanswered);
  });
});
