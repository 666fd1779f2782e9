import { describe, expect, it } from 'vitest';
import { recordPace } from '../../src/core/routing/routedWorkers';
import { WatchReply } from '../../src/protocol/generated/beechlift';
import type { WatchRequest } from '../../src/protocol/generated/beechlift';
import type { RelaySite } from '../../src/relay/relaySite';
import { engineRouting, makeRecord, makeSite } from '../fakes/pickerSite';

const SERVER_COUNT = 98;
const STEP_MS = 390;
const STEPS = 11;
/** Lists of all servers that a large site's leader may get from one entry in these 4 s. */
const MAX_LISTS = 3;

/** An entry that has observed all servers, and exchanges with its leader. */
class ReportRig {
  now = 0;

  readonly site: RelaySite;

  constructor(private readonly entryCount: number) {
    const records = Array.from({ length: SERVER_COUNT }, (unused, position) => makeRecord(`w${position}`, 'ready'));
    this.site = makeSite(engineRouting, records, { now: () => this.now });
    this.site.workers.byId.forEach((worker) => recordPace(worker, 10));
    this.answer(this.site.buildWatchRequest(0));
  }

  /** Sends a watch request, which the leader answers; returns it. */
  watch(epoch = 'x'): WatchRequest {
    this.now += STEP_MS;
    const request = this.site.buildWatchRequest(STEP_MS);
    this.answer(request, epoch);
    return request;
  }

  private answer(request: WatchRequest, epoch = 'x'): void {
    const reply = WatchReply.fromPartial({
      leaseMs: 4_000,
      documentDigest: 'd',
      documentVersion: '1',
      workersEpoch: epoch,
      workersRevision: 1,
      entryCount: this.entryCount,
    });
    this.site.applyReply(reply, this.now, 0);
    this.site.loadReports.recordTold(request, reply, this.now);
  }
}

const countItems = ({ loads, speeds }: WatchRequest): number => loads.length + speeds.length;

describe('what an entry reports about the servers', () => {
  // Fault: each of 200 watch requests a second named all servers that its entry had ever used.
  it('should name all servers in few watch requests on a large site', () => {
    const rig = new ReportRig(78);
    const items = Array.from({ length: STEPS }, () => countItems(rig.watch()));
    expect(items.reduce((sum, count) => sum + count, 0))
      .toBeLessThanOrEqual(MAX_LISTS * SERVER_COUNT);
    expect(Math.max(...items)).toBe(SERVER_COUNT);
  });

  it('should name them in each watch request on a small site', () => {
    const rig = new ReportRig(8);
    expect(rig.watch().speeds).toHaveLength(SERVER_COUNT);
    expect(rig.watch().speeds).toHaveLength(SERVER_COUNT);
  });

  it('should name them at once to another leader', () => {
    const rig = new ReportRig(78);
    Array.from({ length: STEPS }).forEach(() => rig.watch());
    rig.watch('y');
    expect(rig.watch('y').speeds).toHaveLength(SERVER_COUNT);
  });

  it('should name the servers of own requests in each watch request', () => {
    const rig = new ReportRig(78);
    const [worker] = rig.site.workers.byId.values();
    Object.assign(worker ?? {}, { inFlight: 2, pendingTokens: 300 });
    const loads = [rig.watch(), rig.watch(), rig.watch()].map((request) => request.loads);
    loads.forEach((load) => expect(load).toMatchObject([{
      workerId: 'w0', inFlight: 2, tokens: 300, slowness: 0,
    }]));
  });
});
