import { describe, expect, it } from 'vitest';
import type { BeechliftError } from '../../src/errors/beechliftError';
import type { Routing } from '../../src/manifest/routing';
import { PlaceReply, WatchReply, WorkerRecord } from '../../src/protocol/generated/beechlift';
import type { PlacedReport, PlaceRequest } from '../../src/protocol/generated/beechlift';
import type { PlaceClient } from '../../src/relay/placeClient';
import { RelayMetrics } from '../../src/relay/relayMetrics';
import { RelaySite } from '../../src/relay/relaySite';
import { applyNotice } from '../../src/relay/workerNotices';
import type { WorkerNotice } from '../../src/relay/workerNotices';
import { WorkerPicker } from '../../src/relay/workerPicker';
import { makeLogger } from '../../src/telemetry/logger';
import { SuspensionDetector, systemClock } from '../../src/utils/clock';
import type { Clock } from '../../src/utils/clock';
import { NO_CONNECTIONS } from '../fakes/relayRig';
import { makeAccount, makeRoute, makeRouting } from '../fakes/routings';

const clock = { now: () => 0 };

const makeRecord = (workerId: string, standing: string) => WorkerRecord.fromPartial({
  said: {
    workerId, service: 'rooms', address: `${workerId}:80`, zone: 'a', slots: 6, state: standing, sequence: 1, coldMs: 0, software: '',
  },
  standing,
});

const makeSite = (
  routing: Routing,
  workers: WorkerRecord[],
  siteClock: Clock = clock,
): RelaySite => {
  const suspension = new SuspensionDetector(siteClock, () => siteClock.now());
  const site = new RelaySite({
    entryId: 'e1',
    callerAddress: '',
    zone: 'a',
    readRouting: () => ({ routing, faults: [] }),
    clock: siteClock,
    suspension,
    logger: makeLogger('test', 'silent'),
    retryBounds: { ratio: 0.2, slack: 1_000, windowMs: 10_000 },
  });
  site.applyReply(WatchReply.fromPartial({
    leaseMs: 4_000, documentDigest: 'd', documentVersion: '1', document: 'd', workersEpoch: 'x', workersRevision: 1, entryCount: 1, workers,
  }), siteClock.now(), suspension.readEpoch());
  return site;
};

const makePick = (isAbandoned: () => boolean, onWaiting: (cancel: () => void) => void) => ({
  admitted: {
    route: makeRoute({}), service: 'rooms', account: undefined, rank: 0, version: 1n,
  },
  facts: {
    requestId: 'r1', maxWaitMs: 5_000, key: '', lastEventId: '', resumedId: '', tokens: undefined, promptParts: [],
  },
  deadlineAt: 5_000,
  tried: [],
  guard: { fingerprint: '', isUnsuspected: true },
  isAbandoned,
  onWaiting,
});

const routing = makeRouting({
  services: [{ name: 'rooms', maxConnections: 0, isEngine: true }], accounts: [],
});

/** Makes a site whose clock can be set. */
const makeMovingSite = (workers: WorkerRecord[]) => {
  const movingClock = { time: 0, now: () => movingClock.time };
  return { movingClock, site: makeSite(routing, workers, movingClock) };
};

const reportNotice = (
  site: RelaySite,
  workerId: string,
  notice: Pick<WorkerNotice, 'restMs' | 'isLeaving'>,
): void => {
  const worker = site.workers.byId.get(workerId);
  if (!worker) throw new Error(`no server ${workerId}`);
  applyNotice({
    clock,
    metrics: new RelayMetrics(),
    logger: makeLogger('test', 'silent'),
    site,
    reportState: () => undefined,
  }, worker, {
    status: 503,
    requestId: 'r0',
    limitPerSecond: 0,
    turnAwayLimit: 0,
    sentAt: clock.now(),
    ...notice,
  });
};

const askForBackoff = (site: RelaySite, workerId: string, restMs: number): void => (
  reportNotice(site, workerId, { restMs, isLeaving: false }));

/** A leader that grants slots at one server, to all requests but the first ones if it is silent. */
class FixedLeader {
  readonly reports: PlacedReport[] = [];

  readonly avoided: string[][] = [];

  constructor(private readonly workerId: string, private readonly silentRequests = 0) {}

  async place({ avoided }: PlaceRequest): Promise<PlaceReply | undefined> {
    this.avoided.push(avoided);
    if (this.avoided.length <= this.silentRequests) return undefined;
    return PlaceReply.fromPartial({ workerId: this.workerId });
  }

  report(report: PlacedReport): void {
    this.reports.push(report);
  }
}

describe('WorkerPicker', () => {
  /*
   * Fault: a leaving server got new requests and cut them off. A leader that was cut off from the
   * other replicas did not know that the server was leaving and still granted its slots.
   */
  it('should not use a leaving server that the leader does not know to be leaving', async () => {
    const site = makeSite(routing, [makeRecord('w1', 'draining'), makeRecord('w2', 'ready')]);
    const leader = new FixedLeader('w1');
    const picker = new WorkerPicker({
      site, placeClient: leader as unknown as PlaceClient, connections: NO_CONNECTIONS, clock,
    });
    const picked = await picker.pick(makePick(() => false, () => undefined));
    expect([picked?.worker.id, picked?.placeId]).toEqual(['w2', '']);
    expect(leader.reports.map(({ phase }) => phase)).toEqual(['dropped']);
  });

  // Fault: a server that had left got requests that had waited for a slot. The entry chose
  // it by a table that was older than its lease allows.
  it.each([
    ['by the leader', PlaceReply.fromPartial({ workerId: 'w1' })],
    ['by the entry', undefined],
  ])('should choose no server after the lease has ended, %s', async (name, reply) => {
    const { movingClock, site } = makeMovingSite([makeRecord('w1', 'ready')]);
    const leader = {
      place: () => {
        movingClock.time = 5_000;
        return Promise.resolve(reply);
      },
      report: () => undefined,
    };
    const picker = new WorkerPicker({
      site,
      placeClient: leader as unknown as PlaceClient,
      connections: NO_CONNECTIONS,
      clock: movingClock,
    });
    const request = makePick(() => false, () => undefined);
    await expect(picker.pick({ ...request, facts: { ...request.facts, maxWaitMs: 10 } }))
      .rejects.toMatchObject({ code: 'configurationStale' });
  });

  /*
   * Fault: requests whose callers had disconnected while they waited for a slot stayed in the queue
   * before those of other callers, and were then charged to their accounts.
   */
  it('should cancel a request that waits for a slot when its caller disconnects', async () => {
    const site = makeSite(routing, [makeRecord('w1', 'ready')]);
    const cancelled: string[] = [];
    let decide = (): void => undefined;
    const leader = {
      place: () => new Promise<undefined>((resolve) => {
        decide = () => resolve(undefined);
      }),
      cancel: (placeId: string) => {
        cancelled.push(placeId);
        decide();
      },
    };
    const picker = new WorkerPicker({
      site, placeClient: leader as unknown as PlaceClient, connections: NO_CONNECTIONS, clock,
    });
    let cancel = (): void => undefined;
    const picking = picker.pick(makePick(() => true, (taken) => {
      cancel = taken;
    }));
    cancel();
    expect(await picking).toBeUndefined();
    expect(cancelled).toHaveLength(1);
  });

  // The leader may grant slots at a server that asked this entry for a backoff.
  it('should not use a slot at a server that asked for a backoff', async () => {
    const site = makeSite(routing, [makeRecord('w1', 'ready'), makeRecord('w2', 'ready')]);
    const leader = new FixedLeader('w1');
    askForBackoff(site, 'w1', 3_000);
    const picker = new WorkerPicker({
      site, placeClient: leader as unknown as PlaceClient, connections: NO_CONNECTIONS, clock,
    });
    const picked = await picker.pick(makePick(() => false, () => undefined));
    expect(picked?.worker.id).toBe('w2');
    expect(leader.avoided).toEqual([['w1'], ['w1']]);
    expect(new Set(leader.reports.map(({ phase }) => phase))).toEqual(new Set(['dropped']));
  });

  // Callers must not wait for a slot that this entry would not use.
  it('should request no slot if all engines asked for a backoff', async () => {
    const site = makeSite(routing, [makeRecord('w1', 'ready')]);
    const leader = new FixedLeader('w1');
    askForBackoff(site, 'w1', 3_000);
    const picker = new WorkerPicker({
      site, placeClient: leader as unknown as PlaceClient, connections: NO_CONNECTIONS, clock,
    });
    await expect(picker.pick(makePick(() => false, () => undefined)))
      .rejects.toMatchObject({ run: 'notRun' });
    expect(leader.avoided).toEqual([]);
  });

  // The leader may learn that a server is leaving later than its entries do.
  it('should not use a slot at a server that reported that it is leaving', async () => {
    const site = makeSite(routing, [makeRecord('w1', 'ready'), makeRecord('w2', 'ready')]);
    const leader = new FixedLeader('w1');
    reportNotice(site, 'w1', { restMs: 0, isLeaving: true });
    const picker = new WorkerPicker({
      site, placeClient: leader as unknown as PlaceClient, connections: NO_CONNECTIONS, clock,
    });
    const picked = await picker.pick(makePick(() => false, () => undefined));
    expect(picked?.worker.id).toBe('w2');
    expect(leader.avoided[0]).toEqual(['w1']);
    expect(new Set(leader.reports.map(({ phase }) => phase))).toEqual(new Set(['dropped']));
  });

  // The second request must not wait at the leader once another one used up the backoff's probes.
  it('should refuse the other requests at once when the slot of a server that is backing off is taken', async () => {
    const site = makeSite(routing, [makeRecord('w1', 'ready')]);
    const leader = new FixedLeader('w1');
    askForBackoff(site, 'w1', 3_000);
    const picker = new WorkerPicker({
      site,
      placeClient: leader as unknown as PlaceClient,
      connections: NO_CONNECTIONS,
      clock: { now: () => 1_500 },
    });
    const [first, second] = await Promise.allSettled([0, 1].map(() => (
      picker.pick(makePick(() => false, () => undefined)))));
    expect(first).toMatchObject({ status: 'fulfilled', value: { worker: { id: 'w1' } } });
    expect(second).toMatchObject({ status: 'rejected', reason: { code: 'backendsResting' } });
    expect(leader.avoided).toHaveLength(2);
  });

  // Fault: an entry that was cut off tried one server after another before it refused a request.
  it.each([
    ['refuse if no connection is open', { isCutOff: true, isSilent: false }, [], 'backendsUnreachable'],
    ['use an open connection', { isCutOff: true, isSilent: false }, ['w2:80'], 'w2'],
    ['refuse if open connections are dead too', { isCutOff: true, isSilent: true }, ['w2:80'], 'backendsUnreachable'],
  ])('should %s once the entry is cut off from the servers', async (name, reach, open, expected) => {
    const site = makeSite(routing, [makeRecord('w1', 'ready'), makeRecord('w2', 'ready')]);
    Object.assign(site.reach, reach);
    const leader = new FixedLeader('w1');
    const picker = new WorkerPicker({
      site,
      placeClient: leader as unknown as PlaceClient,
      connections: { hasIdle: (address) => open.includes(address) },
      clock,
    });
    const picked = await picker.pick(makePick(() => false, () => undefined))
      .then((result) => result?.worker.id, ({ code }: { code: string }) => code);
    expect(picked).toBe(expected);
    expect(leader.avoided).toHaveLength(0);
  });
});

describe('WorkerPicker without a leader', () => {
  const account = makeAccount({ perSecond: 1_000, burst: 1_000 });

  /** Picks for a request of 700 units, whose entry has a grant of 500. */
  const pickOverGrant = (
    silentRequests: number,
    isAbandoned = () => false,
    onPick: (site: RelaySite) => void = () => undefined,
  ) => {
    const site = makeSite(routing, [makeRecord('w1', 'ready')], systemClock);
    site.accounts.applyReply(WatchReply.fromPartial({
      workersEpoch: 'x', entryCount: 1, grants: [{ account: 'lobby', units: 500, overdraft: 100 }],
    }), systemClock.now());
    site.accounts.recordSilence(systemClock.now() + 1);
    const leader = new FixedLeader('w1', silentRequests);
    const picker = new WorkerPicker({
      site,
      placeClient: leader as unknown as PlaceClient,
      connections: NO_CONNECTIONS,
      clock: systemClock,
    });
    const request = makePick(isAbandoned, () => undefined);
    const picked = picker.pick({
      ...request,
      admitted: { ...request.admitted, account },
      facts: {
        ...request.facts, maxWaitMs: 2_400, tokens: { prompt: 600, output: 100, expected: 100 },
      },
      deadlineAt: systemClock.now() + 5_000,
    }).then(
      (result) => result?.placeId,
      ({ code, detail }: BeechliftError) => ({ code, ...detail }),
    );
    onPick(site);
    return { leader, picked };
  };

  // Fault: an entry overdrew its grant by a request of any size while no leader answered.
  it('should let a request that does not fit into the grant wait for the next leader', async () => {
    const { leader, picked } = pickOverGrant(2);
    expect(await picked).toMatch(/./u);
    expect(leader.avoided).toHaveLength(3);
  });

  it('should refuse it as not run if no leader comes', async () => {
    const { leader, picked } = pickOverGrant(100);
    expect(await picked).toMatchObject({ code: 'accountLimited', retryAfterMs: 450 });
    expect(leader.avoided.length).toBeLessThanOrEqual(4);
  });

  it('should choose a server itself once the grant is renewed', async () => {
    const { leader, picked } = pickOverGrant(100, () => false, (site) => {
      setTimeout(() => site.accounts.applyReply(WatchReply.fromPartial({
        workersEpoch: 'x', entryCount: 1, grants: [{ account: 'lobby', units: 900, overdraft: 0 }],
      }), systemClock.now()), 50);
    });
    expect(await picked).toBe('');
    expect(leader.avoided).toHaveLength(2);
  });

  it.each([
    ['wait while no leader renews the grants', 101, ''],
    ['be refused at once while a leader does', -1, 'accountLimited'],
  ])('should let a request for a service that no leader places %s', async (name, silentMs, expected) => {
    const site = makeSite(makeRouting({
      services: [{ name: 'rooms', maxConnections: 0, isEngine: false }], accounts: [],
    }), [makeRecord('w1', 'ready')], systemClock);
    const renew = (units: number) => site.accounts.applyReply(WatchReply.fromPartial({
      workersEpoch: 'x', entryCount: 1, grants: [{ account: 'lobby', units }],
    }), systemClock.now());
    renew(0);
    site.accounts.recordSilence(systemClock.now() + silentMs);
    const leader = new FixedLeader('w1');
    const picker = new WorkerPicker({
      site,
      placeClient: leader as unknown as PlaceClient,
      connections: NO_CONNECTIONS,
      clock: systemClock,
    });
    const request = makePick(() => false, () => undefined);
    const picked = picker.pick({
      ...request,
      admitted: { ...request.admitted, account },
      deadlineAt: systemClock.now() + 5_000,
    }).then((result) => result?.placeId, ({ code }: BeechliftError) => code);
    setTimeout(() => renew(900), 150);
    expect(await picked).toBe(expected);
    expect(leader.avoided).toEqual([]);
  });

  it('should end the wait when the caller leaves', async () => {
    let isAbandoned = false;
    const { leader, picked } = pickOverGrant(100, () => isAbandoned);
    setTimeout(() => {
      isAbandoned = true;
    }, 50);
    expect(await picked).toBeUndefined();
    expect(leader.avoided.length).toBeLessThanOrEqual(2);
  });
});
