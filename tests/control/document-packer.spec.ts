import { describe, expect, it } from 'vitest';
import { decodeCommand, encodeCommand } from '../../src/control/documentCommand';
import { DocumentPacker } from '../../src/control/documentPacker';
import { WatchReply } from '../../src/protocol/generated/beechlift';
import { readDocument } from '../../src/relay/readDocument';
import { RelaySite } from '../../src/relay/relaySite';
import { makeLogger } from '../../src/telemetry/logger';
import { SuspensionDetector } from '../../src/utils/clock';
import { formatDocument } from '../fakes/controlSite';
import { makeRoute, makeRouting } from '../fakes/routings';

/** Bytes that a link of 7 Mbit/s carries in a tenth of a second. */
const MAX_BYTES = 87_500;

const makeDocument = (routes: number): string => formatDocument(1, {
  routes: Array.from({ length: routes }, (unused, position) => makeRoute({
    name: `route-${(position * 7_919).toString(36)}`,
    host: `${(position % 9).toString(36)}x.example`,
    pathPrefix: `/${(position * 104_729).toString(36)}/`,
  })),
});

const build = (packer: DocumentPacker, document: string): WatchReply => WatchReply.fromPartial({
  ...packer.build({ version: 7n, digest: `d${document.length}`, document }),
  documentDigest: 'd',
  documentVersion: '7',
  leaseMs: 2_000,
});

describe('the packed document', () => {
  /*
   * After a change that added 1,740 routes, entries answered 404 to these for seconds. The document
   * was sent as text, with 340 bytes per route, and took half a second on the link of an entry. The
   * entry abandoned its watch request after half a second and requested the whole document again.
   */
  it('should take a tenth of a second on a slow link with 1,800 routes', () => {
    const document = makeDocument(1_800);
    expect(document.length).toBeGreaterThan(4 * MAX_BYTES);
    const reply = build(new DocumentPacker(), document);
    expect(WatchReply.encode(reply).finish().length).toBeLessThan(MAX_BYTES);
    expect(readDocument(reply)).toBe(document);
  });

  /*
   * A change that added 1,400 routes was never accepted, and nothing was served while it was sent.
   * The log resent 470 KB to each of four replicas every 75 ms until they acknowledged it; the
   * leader missed its heartbeats over that, and so did the next one.
   */
  it('should use a fifth of its length in the log, and be decoded unchanged', () => {
    const document = makeDocument(1_449);
    const command = encodeCommand({ version: 7n, document });
    expect(command.length).toBeLessThan(document.length / 5);
    expect(decodeCommand(command)).toEqual({ version: 7n, document });
  });

  it('should be read from logs that hold it unpacked', () => {
    const document = makeDocument(300);
    const command = { version: 3, document };
    expect(decodeCommand(JSON.stringify(command))).toEqual({ version: 3n, document });
  });

  it('should be packed once for all entries, and again when it changes', () => {
    const packer = new DocumentPacker();
    const document = makeDocument(200);
    const { packedDocument } = build(packer, document);
    expect(build(packer, document).packedDocument).toBe(packedDocument);
    expect(readDocument(build(packer, makeDocument(300)))).toBe(makeDocument(300));
  });

  it('should be sent unpacked if it is small', () => {
    const reply = build(new DocumentPacker(), makeDocument(3));
    expect([reply.document, reply.packedDocument.length]).toEqual([makeDocument(3), 0]);
  });

  it('should be ignored, and renew no lease, if it cannot be unpacked', () => {
    const clock = { now: () => 0 };
    const site = new RelaySite({
      entryId: 'e1',
      callerAddress: '',
      zone: 'a',
      readRouting: () => ({ routing: makeRouting({}), faults: [] }),
      clock,
      suspension: new SuspensionDetector(clock, () => 0),
      logger: makeLogger('test', 'silent'),
      retryBounds: { ratio: 0.2, slack: 1_000, windowMs: 10_000 },
    });
    const reply = build(new DocumentPacker(), makeDocument(200));
    site.applyReply({ ...reply, packedDocument: Buffer.from('not packed') }, 0, 0);
    expect(site.isServing).toBe(false);
    site.applyReply(reply, 0, 0);
    expect(site.isServing).toBe(true);
  });
});
