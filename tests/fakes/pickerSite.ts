/** What tests of the choice of backend servers have in common. */
import type { Routing } from '../../src/manifest/routing';
import { WatchReply, WorkerRecord } from '../../src/protocol/generated/beechlift';
import { RelaySite } from '../../src/relay/relaySite';
import { makeLogger } from '../../src/telemetry/logger';
import { SuspensionDetector } from '../../src/utils/clock';
import type { Clock } from '../../src/utils/clock';
import { makeRoute, makeRouting } from './routings';

/** A clock that stands still. */
export const stoppedClock: Clock = { now: () => 0 };

/** Makes the record of a server of the service `rooms`. */
export const makeRecord = (workerId: string, standing: string) => WorkerRecord.fromPartial({
  said: {
    workerId, service: 'rooms', address: `${workerId}:80`, zone: 'a', slots: 6, state: standing, sequence: 1, coldMs: 0, software: '',
  },
  standing,
});

/** Makes the site of an entry with a lease of 4 s and these servers. */
export const makeSite = (
  routing: Routing,
  workers: WorkerRecord[],
  siteClock: Clock = stoppedClock,
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

/** Makes the fields of a request that needs a server of the service `rooms`. */
export const makePick = (isAbandoned: () => boolean, onWaiting: (cancel: () => void) => void) => ({
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

/** A routing with the service `rooms` of engines. */
export const engineRouting: Routing = makeRouting({
  services: [{ name: 'rooms', maxConnections: 0, isEngine: true }], accounts: [],
});
