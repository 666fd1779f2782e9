import { setTimeout as pause } from 'node:timers/promises';
import fc from 'fast-check';
import {
  afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {
  MeetRequest, PlaceNews, SiteClient, WatchRequest, WorkerAnnouncement,
} from '../../src/protocol/generated/beechlift';
import { Operation } from '../../src/utils/operation';
import { RpcLink } from '../../src/wire/rpcLink';
import { ControlSite, formatDocument, waitFor } from '../fakes/controlSite';
import { makeRoute } from '../fakes/routings';
import { runSearchAsync } from '../fakes/runSearch';

const SEARCH = { runs: 40, seed: 4_711 };
const SETTLE_MS = 30;

/** Values of fields that hold a name; some of the names exist. */
const text = fc.constantFrom(
  '',
  'a',
  'p1',
  'p2',
  'w0',
  'w1',
  'rooms',
  'lobby',
  'running',
  'ended',
  'rejected',
  'failed',
  'dropped',
  '__proto__',
  'x'.repeat(2_000),
);
const service = fc.constantFrom('rooms', 'rooms', 'rooms', 'other');
const count = fc.constantFrom(0, 1, 3, 7, 500, 1e9, Number.MAX_SAFE_INTEGER, -1, -1e9);
/** Only floating-point fields can carry all of these; in other fields the message is rejected. */
const quantity = fc.constantFrom(0, 1, 12.5, -3, 1e300, Infinity, -Infinity, NaN);
const list = fc.array(text, { maxLength: 4 });

const request = fc.record({
  placeId: text,
  entryId: text,
  service,
  account: text,
  cost: quantity,
  rank: count,
  promptTokens: count,
  outputTokens: count,
  targetMs: count,
  remainingMs: count,
  zone: text,
  tried: list,
  fingerprint: text,
}, { requiredKeys: ['service'] });
const report = fc.record({
  placeId: text, phase: text, paceMs: quantity, firstEventMs: quantity, outputMs: quantity,
}, { requiredKeys: [] });
const sighting = fc.record({
  fingerprint: text, workerId: text, born: count, ageMs: count,
}, { requiredKeys: [] });
const placeNews = fc.record({
  number: count,
  requests: fc.array(request, { maxLength: 5 }),
  reports: fc.array(report, { maxLength: 5 }),
  entryId: text,
  held: list,
  sightings: fc.array(sighting, { maxLength: 3 }),
  served: list,
}, { requiredKeys: [] });
const load = fc.record({
  workerId: text, inFlight: count, tokens: count, slowness: count,
}, { requiredKeys: [] });
const watchRequest = fc.record({
  entryId: text,
  callerAddress: text,
  zone: text,
  state: fc.constantFrom('starting', 'active', 'leaving', ''),
  documentDigest: text,
  workersEpoch: text,
  workersRevision: count,
  holdMs: fc.constantFrom(0, 5, -1),
  loads: fc.array(load, { maxLength: 3 }),
  spends: fc.array(fc.record({
    account: text, total: quantity, demand: quantity,
  }, { requiredKeys: [] }), { maxLength: 3 }),
  entriesEpoch: text,
  entriesRevision: count,
  suspectsEpoch: text,
  suspectsRevision: count,
}, { requiredKeys: [] });
const announcement = fc.record({
  workerId: fc.constantFrom('w0', 'w1', ''),
  service,
  address: text,
  zone: text,
  slots: count,
  state: fc.constantFrom('ready', 'ready', 'draining', 'gone', ''),
  coldMs: count,
  sequence: count,
  software: text,
  born: count,
}, { requiredKeys: ['workerId', 'service', 'slots', 'state', 'address'] });

/** Uncaught errors, which would end the process. */
const uncaught: Error[] = [];
const recordUncaught = (error: Error): void => {
  uncaught.push(error);
};

describe('control with arbitrary messages of entries and servers', () => {
  let former: NodeJS.UncaughtExceptionListener[] = [];
  let site: ControlSite | undefined;
  let link: RpcLink<SiteClient> | undefined;

  beforeEach(() => {
    uncaught.length = 0;
    former = process.listeners('uncaughtException');
    process.removeAllListeners('uncaughtException');
    process.on('uncaughtException', recordUncaught);
    process.on('unhandledRejection', recordUncaught);
  });

  afterEach(async () => {
    link?.close();
    await site?.close();
    process.removeAllListeners('uncaughtException');
    process.removeListener('unhandledRejection', recordUncaught);
    former.forEach((listener) => process.on('uncaughtException', listener));
  });

  // An uncaught error ended the leader, and all entries had to choose servers themselves.
  it('should keep running and accept the next document', async () => {
    const started = await ControlSite.open(3);
    site = started;
    await Promise.all([0, 1, 2].map((position) => started.start(position, true)));
    const leader = await started.waitForLeader();
    let version = 0;
    let answers = 0;
    const publish = async (): Promise<number> => {
      version += 1;
      const document = formatDocument(version, {
        routes: [makeRoute({ kind: 'stream' })],
        services: [{ name: 'rooms', maxConnections: 100, isEngine: true }],
      });
      return (await started.findNode(leader)
        .publish({ document, deadlineMs: 3_000, forwarded: false })).code;
    };
    await publish();
    const address = started.getAddress(leader);
    link = new RpcLink(SiteClient, address);
    const used = link;
    const call = (name: 'watch' | 'announce' | 'meet', message: object) => used.call<object, object>(
      (stub) => (stub[name] as (...parts: unknown[]) => unknown).bind(stub) as never,
      message,
      new Operation({ timeoutMs: 1_000 }),
    ).catch(() => undefined); // Refused, or could not be encoded.
    const open = <Message>(name: 'place' | 'keepWatch', messages: Message[]) => {
      const stream = used.openStream<Message, object>((stub) => stub[name].bind(stub) as never, {
        take: () => {
          answers += 1;
        },
        close: () => undefined,
      });
      messages.forEach((message) => stream.write(message));
      return stream;
    };
    const runs = await runSearchAsync(fc.asyncProperty(
      fc.array(placeNews, { maxLength: 6 }),
      fc.array(watchRequest, { maxLength: 4 }),
      fc.array(announcement, { maxLength: 4 }),
      async (messages, watchRequests, announcements) => {
        const streams = [
          open<PlaceNews>('place', messages.map((message) => PlaceNews.fromPartial(message))),
          open<WatchRequest>('keepWatch', watchRequests.map((message) => WatchRequest.fromPartial(message))),
        ];
        await Promise.all([
          ...announcements.map((message) => call('announce', WorkerAnnouncement.fromPartial(message))),
          ...watchRequests.map((message) => call('watch', WatchRequest.fromPartial(message))),
          call('meet', MeetRequest.fromPartial({})),
        ]);
        await pause(SETTLE_MS);
        streams.forEach((stream) => stream.cancel());
        await pause(SETTLE_MS);
        expect(uncaught.splice(0)).toEqual([]);
      },
    ), SEARCH);
    await waitFor(async () => await publish().catch(() => -1) === 0, 'a document is accepted');
    expect(uncaught).toEqual([]);
    expect(answers).toBeGreaterThan(runs);
  });
});
