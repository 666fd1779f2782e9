import {
  afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import { waitFor } from '../fakes/controlSite';
import { PlatformSite } from '../fakes/platformSite';
import { buildStreamDocument, CALLER_HEADERS, SERVER_HEADERS } from '../fakes/platformStreams';
import { StreamCaller } from '../fakes/streamCaller';
import { VersionedServer } from '../fakes/versionedServer';

const REPLICAS = [1, 2, 3];
const ENTRY = 4;
const STREAMS = 6;
const EVENTS_BEFORE_KILL = 4;

describe('streams without a length whose entry is killed', () => {
  let site: PlatformSite;
  let server: VersionedServer;

  const begin = (): StreamCaller => (
    new StreamCaller(site.getCallerAddress(ENTRY), {}, CALLER_HEADERS));

  beforeEach(async () => {
    site = await PlatformSite.open();
    REPLICAS.forEach((machine) => site.startControl(machine, true));
    site.startEntry(ENTRY);
    server = new VersionedServer({
      id: 'i-0', service: 's', software: 'v1', announce: (announcement) => site.announce(announcement), headers: SERVER_HEADERS, isCloseDelimited: true,
    });
    await server.open();
  });

  afterEach(async () => {
    server.crash();
    await site.close();
  });

  // Fault: the answer was passed on without a length, and the operating system closes the
  // connections of a killed process normally, so a part of the stream looked complete.
  it.each([
    ['that may not be resumed', false],
    ['that may be resumed', true],
  ])('should not look complete: streams %s', async (name, isResumable) => {
    await site.publish(buildStreamDocument(isResumable));
    const isServed = async (): Promise<boolean> => {
      const caller = begin();
      await caller.waitClosed();
      return caller.looksComplete && caller.isWhole;
    };
    await waitFor(isServed, 'the entry serves a whole stream');
    const callers = Array.from({ length: STREAMS }, begin);
    await Promise.all(callers.map((caller) => caller.waitEvents(EVENTS_BEFORE_KILL)));
    await site.endProcess(`entry-${ENTRY}`, 'SIGKILL');
    await Promise.all(callers.map((caller) => caller.waitClosed()));
    expect(callers.filter(({ isWhole }) => isWhole)).toEqual([]);
    expect(callers.filter(({ looksComplete }) => looksComplete)).toHaveLength(0);
  });
});
