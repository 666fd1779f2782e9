import { setTimeout as pause } from 'node:timers/promises';
import fc from 'fast-check';
import {
  afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import { readRoutingDocument } from '../../platform/routingDocument';
import { decodeCommand, encodeCommand } from '../../src/control/documentCommand';
import {
  applyDocument, NO_DOCUMENT, parseSiteDocument, toStoredDocument,
} from '../../src/core/routing/siteDocument';
import { MAX_DOCUMENT_VERSION, parseVersion } from '../../src/manifest/documentVersion';
import { WatchReply } from '../../src/protocol/generated/beechlift';
import { RelaySite } from '../../src/relay/relaySite';
import { makeLogger } from '../../src/telemetry/logger';
import { SuspensionDetector } from '../../src/utils/clock';
import { waitFor } from '../fakes/controlSite';
import { APPLY_MS, PlatformSite } from '../fakes/platformSite';

const REPLICAS = [1, 2, 3];
const ENTRY = 4;
/** Times in nanoseconds that one number stands for. */
const FIRST = '1764866186123456789';
const SECOND = '1764866186123456829';

/** What a number makes of the first one. */
const ROUNDED = String(BigInt(Number(FIRST)));

/** Builds a document whose version is written as the given text. */
const buildDocument = (version: string, timeoutMs = 8_000): string => JSON.stringify({
  version: 'VERSION',
  routes: [{
    name: 'r', host: 'shop.example', path_prefix: '/', route_kind: 'idempotent', timeout_ms: timeoutMs, service: 's', public: true,
  }],
  services: [{ name: 's', version: 3 }],
}).replace('"VERSION"', version);

const readVersion = (version: string): bigint | undefined => (
  readRoutingDocument(buildDocument(version)).routing?.version);

describe('the version of a routing document', () => {
  // Fault: a version that a number does not hold was rounded, so a newer document counted as the
  // one in force and was lost, and entries could not decode the replies of the leader.
  it('should stay exact in the log, in snapshots and in messages', () => {
    fc.assert(fc.property(fc.bigInt({ min: 1n, max: MAX_DOCUMENT_VERSION }), (version) => {
      const read = readVersion(String(version));
      const command = decodeCommand(encodeCommand({ version: read ?? 0n, document: 'd' }));
      const site = applyDocument({ ...NO_DOCUMENT, version: version - 1n }, command, 'x');
      const stored = parseSiteDocument(JSON.stringify(toStoredDocument(site)));
      const reply = WatchReply.fromPartial({ documentVersion: String(stored.version) });
      const { documentVersion } = WatchReply.decode(WatchReply.encode(reply).finish());
      expect(parseVersion(documentVersion)).toBe(version);
    }));
  });

  it.each([
    ['1e3', 1_000n],
    ['9007199254740993', 9_007_199_254_740_993n],
    [String(MAX_DOCUMENT_VERSION), MAX_DOCUMENT_VERSION],
    [`${FIRST}, "version": ${SECOND}`, BigInt(SECOND)],
    [`${FIRST}, "more": {"version": ${SECOND}}`, BigInt(FIRST)],
  ])('should be read as it is written: %s', (text, version) => {
    expect(readVersion(text)).toBe(version);
  });

  it.each(['0', '-7', '7.5', '"7"', '1.764866186123456789e18', '18446744073709551616', '1e400'])('should be refused if it cannot be held exactly: %s', (text) => {
    const { routing, faults } = readRoutingDocument(buildDocument(text));
    expect(routing).toBeUndefined();
    expect(faults.join()).toMatch(/^\/version: /);
  });
});

describe('an entry whose replicas were updated', () => {
  // Guards against entries without a lease: a version that an earlier release has stored rounded is
  // lower than the one in the text of the document.
  it('should serve a document whose version an earlier release has rounded', () => {
    const clock = { now: (): number => 0 };
    const site = new RelaySite({
      entryId: 'e1',
      callerAddress: '',
      zone: 'a',
      readRouting: readRoutingDocument,
      clock,
      suspension: new SuspensionDetector(clock, () => 0),
      logger: makeLogger('test', 'silent'),
      retryBounds: { ratio: 0.2, slack: 1, windowMs: 1_000 },
    });
    const reply = WatchReply.fromPartial({
      documentDigest: 'd', documentVersion: ROUNDED, document: buildDocument(FIRST), leaseMs: 2_000, workersEpoch: 'e', entryCount: 1,
    });
    [0, 1].forEach((sentAt) => site.applyReply(reply, sentAt, 0));
    expect([site.isServing, site.leaseLeftMs]).toEqual([true, 2_001]);
  });
});

describe('documents whose versions are times in nanoseconds', () => {
  let site: PlatformSite;

  const read = (): Promise<string[]> => (
    Promise.all(REPLICAS.map((machine) => site.readDocument(machine).catch(() => ''))));

  const isEverywhere = async (document: string): Promise<boolean> => (
    (await read()).every((text) => text === document));

  beforeEach(async () => {
    site = await PlatformSite.open();
    REPLICAS.forEach((machine) => site.startControl(machine, true));
    site.startEntry(ENTRY);
    await site.publish(buildDocument('7'));
    await waitFor(() => site.isReady(ENTRY).catch(() => false), 'the entry is ready');
  });

  afterEach(() => site.close());

  // Fault: the second of two such documents was acknowledged and lost, and no entry was ready any
  // more.
  it('should be in force in their order, also after all replicas were killed', async () => {
    await site.publish(buildDocument(FIRST));
    const second = buildDocument(SECOND, 9_000);
    await site.publish(second);
    await site.publish(buildDocument(FIRST));
    await waitFor(() => isEverywhere(second), 'all replicas have the second document');
    await pause(APPLY_MS);
    expect(await site.isReady(ENTRY)).toBe(true);
    await Promise.all(REPLICAS.map((machine) => site.endProcess(`control-${machine}`, 'SIGKILL')));
    REPLICAS.forEach((machine) => site.startControl(machine, false));
    await waitFor(() => isEverywhere(second), 'all replicas have the second document again');
    await waitFor(() => site.isReady(ENTRY), 'the entry is ready again');
  });
});
