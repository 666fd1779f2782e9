import { setTimeout as pause } from 'node:timers/promises';
import { describe, expect, it } from 'vitest';
import { LeaderState } from '../../src/control/leaderState';
import { LeaderWait } from '../../src/control/leaderWait';
import { RecoveryWindow } from '../../src/control/recoveryWindow';
import { SuspectRegistry } from '../../src/control/suspectRegistry';
import { WatchService } from '../../src/control/watchService';
import { WorkerRegistry } from '../../src/control/workerRegistry';
import { WorkMeter } from '../../src/control/workMeter';
import { NO_DOCUMENT } from '../../src/core/routing/siteDocument';
import { StreamOrigins } from '../../src/core/routing/streamOrigins';
import { WatchRequest, WorkerAnnouncement } from '../../src/protocol/generated/beechlift';
import { makeLogger } from '../../src/telemetry/logger';
import { systemClock } from '../../src/utils/clock';
import { HeldCalls } from '../../src/utils/heldCalls';

const ENTRIES = 200;
/** How long a follower lets its watch request be held, in milliseconds. */
const FOLLOW_HOLD_MS = 900;
/** Interval at which a leader sends heartbeats, in milliseconds. */
const HEARTBEAT_MS = 25;

/** The lease of a leader, and the wait for it. */
interface LeaseRig {
  isHeld: boolean;
  readonly wait: LeaderWait;
}

const makeLease = (): LeaseRig => {
  const lease: LeaseRig = { isHeld: true, wait: new LeaderWait(() => lease.isHeld) };
  return lease;
};

const makeService = (watches: HeldCalls, countAnswer: () => void, lease = makeLease()) => {
  const logger = makeLogger('test', 'silent');
  const leaderState = new LeaderState({ clock: systemClock, leaseMs: 2_300, limitSlack: 0 });
  const registry = new WorkerRegistry({
    cachedWorkers: [],
    workerCache: { saveIfChanged: () => undefined },
    clock: systemClock,
    logger,
    watches,
    countEntries: () => ENTRIES,
  });
  const origins = new StreamOrigins();
  const service = new WatchService({
    registry,
    suspects: new SuspectRegistry({
      cachedSuspects: [],
      suspectCache: { saveIfChanged: () => undefined },
      clock: systemClock,
      logger,
      watches,
      countEntries: () => ENTRIES,
    }),
    origins,
    recoveryWindow: new RecoveryWindow(systemClock, false),
    watches,
    clock: systemClock,
    leaderWait: lease.wait,
    work: new WorkMeter(systemClock, logger, HEARTBEAT_MS),
    address: '10.0.0.1:7100',
    leaseMs: 2_300,
    readView: () => ({
      isLeading: lease.isHeld,
      otherLeaderAddress: '',
      // Read once for each reply.
      get replicaAddresses() {
        countAnswer();
        return ['10.0.0.1:7100'];
      },
      site: NO_DOCUMENT,
      leaderState,
    }),
  });
  return {
    desk: service, workersEpoch: registry.table.epoch, registry, origins,
  };
};

describe('the watch service of a leader', () => {
  // The servers and grants of a replica that grants slots waited behind the replies to all entries.
  it('should answer a follower at once, however many entries wait for their turn', async () => {
    let answered = 0;
    const { desk: service } = makeService(new HeldCalls(), () => undefined);
    const entries = Array.from({ length: ENTRIES }, async (unused, position) => {
      await service.watch(WatchRequest.fromPartial({ entryId: `e${position}` }));
      answered += 1;
    });
    // All entries wait for their turn before the first of them has it.
    await new Promise(process.nextTick);
    await service.watch(WatchRequest.fromPartial({ delegate: { replicaId: 'r1' } }));
    expect(answered).toBeLessThan(ENTRIES / 4);
    await Promise.all(entries);
  });

  // While all servers of a service have one version, followers need no origins of streams at once:
  // each reply costs both sides processor time.
  it.each([[['v1', 'v1'], false], [['v1', 'v2'], true]] as const)('should give followers new origins of streams soon if versions differ: %j', async (versions, isSoon) => {
    const { desk: service, registry, origins } = makeService(new HeldCalls(), () => undefined);
    versions.forEach((software, position) => registry.applyAnnouncement(
      WorkerAnnouncement.fromPartial({
        workerId: `w${position}`, service: 'rooms', software, address: `10.0.0.${position}:80`, state: 'ready', sequence: 1,
      }),
    ));
    const { epoch: workersEpoch, revision: workersRevision } = registry.table;
    const watched = service.watch(WatchRequest.fromPartial({
      holdMs: FOLLOW_HOLD_MS, workersEpoch, workersRevision, documentDigest: NO_DOCUMENT.digest,
    }));
    const from = performance.now();
    origins.recordStart({
      id: '9c41', origin: { service: 'rooms', software: 'v1' }, expiresAt: Infinity,
    });
    const reply = await watched;
    const tookMs = performance.now() - from;
    expect(reply.origins.map(({ requestId }) => requestId)).toEqual(['9c41']);
    expect(tookMs < FOLLOW_HOLD_MS / 2).toBe(isSoon);
  });

  /*
   * Four changes were accepted within half a second. After each, the leader answered two hundred
   * entries in one turn of its event loop and sent no heartbeat meanwhile. Two leaders were
   * replaced within a second, and callers got no engine.
   */
  it('should send heartbeats of the leader between its replies to many entries', async () => {
    const watches = new HeldCalls();
    let answers = 0;
    const { desk: service, workersEpoch } = makeService(watches, () => {
      answers += 1;
      const until = performance.now() + 2;
      while (performance.now() < until); // the time of a reply on part of a core
    });
    const waiting = Array.from({ length: ENTRIES }, (unused, position) => service.watch(
      WatchRequest.fromPartial({
        entryId: `e${position}`, state: 'active', holdMs: 500, workersEpoch,
      }),
    ));
    let heartbeatAt = performance.now();
    let maxGapMs = 0;
    const recordHeartbeat = (): void => {
      maxGapMs = Math.max(maxGapMs, performance.now() - heartbeatAt);
      heartbeatAt = performance.now();
    };
    const heartbeats = setInterval(recordHeartbeat, HEARTBEAT_MS);
    await pause(HEARTBEAT_MS);
    watches.release();
    await Promise.all(waiting);
    clearInterval(heartbeats);
    recordHeartbeat();
    expect(answers).toBeGreaterThanOrEqual(ENTRIES);
    // Followers start an election after 300 ms; all replies in one turn take 400 ms.
    expect(maxGapMs).toBeLessThan(200);
  });

  // Fault: an overloaded leader built replies for requests that were given up before their turn.
  it('should build no reply for a request that was given up', async () => {
    let answers = 0;
    const { desk: service } = makeService(new HeldCalls(), () => {
      answers += 1;
    });
    const makeRequest = (entryId: string) => WatchRequest.fromPartial({ entryId, state: 'active' });
    const [answered, abandoned] = await Promise.all([
      service.watch(makeRequest('e1'), () => false),
      service.watch(makeRequest('e2'), () => true),
    ]);
    expect(answered.leaseMs).toBeGreaterThan(0);
    expect(abandoned.leaseMs).toBe(0);
    expect(answers).toBe(1);
  });

  // An overloaded leader lost its lease for a moment, and sent all entries away: each searched for
  // another leader, which cost the leader and all other replicas more time.
  it('should grant the lease of an entry once the leader has its own again', async () => {
    const watches = new HeldCalls();
    const lease = makeLease();
    const { desk: service, workersEpoch } = makeService(watches, () => undefined, lease);
    const reply = service.watch(WatchRequest.fromPartial({
      entryId: 'e1', state: 'active', holdMs: 20, workersEpoch,
    }));
    lease.isHeld = false;
    await pause(120);
    lease.isHeld = true;
    lease.wait.check();
    expect((await reply).leaseMs).toBe(2_300);
  });

  it('should send an entry away if another replica leads', async () => {
    const watches = new HeldCalls();
    const lease = makeLease();
    const { desk: service, workersEpoch } = makeService(watches, () => undefined, lease);
    const startedAt = performance.now();
    const reply = service.watch(WatchRequest.fromPartial({
      entryId: 'e1', state: 'active', holdMs: 20, workersEpoch,
    }));
    lease.isHeld = false;
    expect((await reply).leaseMs).toBe(0);
    // An entry waits for 350 ms beyond the hold time before it asks another replica.
    expect(performance.now() - startedAt).toBeLessThan(350);
  });
});
