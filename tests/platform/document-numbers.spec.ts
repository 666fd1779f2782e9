import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { readRoutingDocument } from '../../platform/routingDocument';
import { formatOriginRecord } from '../../src/core/routing/originRecords';
import { ORIGIN_RETENTION_MS } from '../../src/core/routing/streamOrigins';
import {
  PlaceNews, PlaceReply, StreamOriginRecord, WatchReply, WorkerRecord,
} from '../../src/protocol/generated/beechlift';
import type { PlaceRequest } from '../../src/protocol/generated/beechlift';
import { admitRequest } from '../../src/relay/admitRequest';
import type { PlaceClient } from '../../src/relay/placeClient';
import { RelaySite } from '../../src/relay/relaySite';
import { WorkerPicker } from '../../src/relay/workerPicker';
import { makeLogger } from '../../src/telemetry/logger';
import { SuspensionDetector } from '../../src/utils/clock';
import { NO_CONNECTIONS } from '../fakes/relayRig';

const clock = { now: (): number => 1_000.25 };

const FACTS = {
  requestId: '9c41', maxWaitMs: undefined, key: 'k1', lastEventId: '', resumedId: '', tokens: undefined, promptParts: [],
};

/** Numbers of one document. */
interface DocumentNumbers {
  readonly priority: number;
  readonly accountPriority: number;
  readonly timeoutMs: number;
  readonly targetMs: number;
  readonly rate: number;
}

const buildDocument = (numbers: DocumentNumbers): string => JSON.stringify({
  version: 7,
  routes: [{
    name: 'r', host: 'shop.example', path_prefix: '/', route_kind: 'streaming', resumable: true, timeout_ms: numbers.timeoutMs, target_latency_ms: numbers.targetMs, priority: numbers.priority, service: 's',
  }],
  services: [{ name: 's', inference_engine: {} }],
  tenants: [{
    name: 'n', api_keys: ['k1'], priority: numbers.accountPriority, rate_per_s: numbers.rate, burst: numbers.rate, unit: 'tokens', uncached_tokens: numbers.rate,
  }],
});

/** Makes the entry's slot request for a request that the document admits. */
const makeSlotRequest = async (document: string): Promise<[PlaceRequest, number]> => {
  const suspension = new SuspensionDetector(clock, () => 0);
  const site = new RelaySite({
    entryId: 'e1',
    callerAddress: '',
    zone: 'a',
    readRouting: readRoutingDocument,
    clock,
    suspension,
    logger: makeLogger('test', 'silent'),
    retryBounds: { ratio: 0.2, slack: 1, windowMs: 1_000 },
  });
  const said = {
    workerId: 'w', service: 's', address: 'w:80', slots: 6, state: 'ready', sequence: 1,
  };
  site.applyReply(WatchReply.fromPartial({
    leaseMs: 4_000, documentDigest: 'd', documentVersion: '7', document, workersEpoch: 'x', workersRevision: 1, entryCount: 1, workers: [{ said, standing: 'ready' } as WorkerRecord], grants: [{ account: 'n', units: 1, reportedTotal: 0 }],
  }), clock.now(), suspension.readEpoch());
  const requests: PlaceRequest[] = [];
  const placeClient = {
    findOrigin: () => undefined,
    report: () => undefined,
    place: async (request: PlaceRequest) => {
      requests.push(request);
      return PlaceReply.fromPartial({ workerId: 'w' });
    },
  } as unknown as PlaceClient;
  const admitted = admitRequest(site, FACTS, 'shop.example', '/', 0);
  const deadlineAt = clock.now() + admitted.route.timeoutMs;
  await new WorkerPicker({
    site, placeClient, connections: NO_CONNECTIONS, clock,
  }).pick({
    admitted,
    facts: FACTS,
    deadlineAt,
    tried: [],
    guard: { fingerprint: '', isUnsuspected: true },
    isAbandoned: () => false,
    onWaiting: () => undefined,
  });
  return [requests[0] as PlaceRequest, deadlineAt];
};

/** Formats a message without a difference between 0 and -0. */
const formatJson = (message: object): string => JSON.stringify(message);

const extreme = fc.oneof(
  fc.double({ noNaN: true, noDefaultInfinity: true }),
  fc.integer(),
  fc.constantFrom(0, -0, 0.1 + 0.2, 1.5, 2 ** 31, 2 ** 53, -(2 ** 53), 2 ** 63, 1e20, -1e300),
);

describe('the numbers of a routing document', () => {
  // Fault: a rank with a fraction, or a time of 1e20 ms, was accepted, and no message to the leader
  // could hold it, so entries placed all requests of the route without the leader.
  it('should be held by the messages to the leader if they are accepted', async () => {
    await fc.assert(fc.asyncProperty(fc.record({
      priority: extreme,
      accountPriority: extreme,
      timeoutMs: extreme,
      targetMs: extreme,
      rate: extreme,
    }), async (numbers) => {
      const document = buildDocument(numbers);
      if (!readRoutingDocument(document).routing) return;
      const [request, deadlineAt] = await makeSlotRequest(document);
      const record = formatOriginRecord({
        id: '9c41', origin: undefined, expiresAt: deadlineAt + ORIGIN_RETENTION_MS,
      }, clock.now());
      const news = PlaceNews.fromPartial({ requests: [request] });
      const received = PlaceNews.decode(PlaceNews.encode(news).finish());
      expect(formatJson(received)).toBe(formatJson(news));
      const copy = StreamOriginRecord.decode(StreamOriginRecord.encode(record).finish());
      expect(formatJson(copy)).toBe(formatJson(record));
    }), { numRuns: 1_000, seed: 60 });
  });

  it.each([
    [1.4, 1], [1.5, 2], [-0.6, -1], [1e300, Number.MAX_SAFE_INTEGER],
  ])('should be whole ranks within the bounds of a number: %s', (priority, rank) => {
    const { routing } = readRoutingDocument(buildDocument({
      priority, accountPriority: priority, timeoutMs: 8_000, targetMs: 800, rate: 100,
    }));
    expect([routing?.routes[0]?.rank, routing?.accounts[0]?.rank]).toEqual([rank, rank]);
  });
});
