import { describe, expect, it } from 'vitest';
import { PlaceReply, WorkerRecord } from '../../src/protocol/generated/beechlift';
import type { PlaceClient } from '../../src/relay/placeClient';
import { RelayMetrics } from '../../src/relay/relayMetrics';
import type { RelaySite } from '../../src/relay/relaySite';
import { applyNotice } from '../../src/relay/workerNotices';
import type { WorkerNotice } from '../../src/relay/workerNotices';
import { WorkerPicker } from '../../src/relay/workerPicker';
import { makeLogger } from '../../src/telemetry/logger';
import { FixedLeader } from '../fakes/fixedLeader';
import {
  engineRouting as routing, makePick, makeRecord, makeSite, stoppedClock as clock,
} from '../fakes/pickerSite';
import { NO_CONNECTIONS } from '../fakes/relayRig';

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
    expect(leader.reports.map(({ phase }) => phase)).toEqual(['unused']);
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
    expect(new Set(leader.reports.map(({ phase }) => phase))).toEqual(new Set(['unused']));
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
    expect(new Set(leader.reports.map(({ phase }) => phase))).toEqual(new Set(['unused']));
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
