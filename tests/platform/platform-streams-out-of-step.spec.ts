import { setTimeout as pause } from 'node:timers/promises';
import {
  afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import { waitFor } from '../fakes/controlSite';
import { PlatformSite } from '../fakes/platformSite';
import { buildStreamDocument, CALLER_HEADERS, SERVER_HEADERS } from '../fakes/platformStreams';
import { StreamCaller } from '../fakes/streamCaller';
import { VersionedServer } from '../fakes/versionedServer';

const REPLICAS = [1, 2, 3];
const [FIRST, FROZEN] = [4, 5];
const STREAMS = 12;
const EVENTS_BEFORE_KILL = 2;
/** Longer than control holds the last watch request of an entry, in milliseconds. */
const HELD_MS = 300;
/** Time in which an entry hears of new servers, in milliseconds. */
const HEARD_MS = 100;

describe('streams that an entry takes up after it stood still', () => {
  let site: PlatformSite;
  const servers: VersionedServer[] = [];

  const addServers = async (...versions: readonly string[]): Promise<void> => {
    const added = versions.map((software, position) => new VersionedServer({
      id: `i-${servers.length + position}`, service: 's', software, announce: (announcement) => site.announce(announcement), headers: SERVER_HEADERS,
    }));
    servers.push(...added);
    await Promise.all(added.map((server) => server.open()));
  };

  const begin = (machine: number): StreamCaller => (
    new StreamCaller(site.getCallerAddress(machine), {}, CALLER_HEADERS));

  beforeEach(async () => {
    site = await PlatformSite.open();
    REPLICAS.forEach((machine) => site.startControl(machine, true));
    [FIRST, FROZEN].forEach((machine) => site.startEntry(machine));
    await site.publish(buildStreamDocument(true));
    await addServers('v1', 'v1');
    const serves = async (machine: number): Promise<boolean> => {
      const caller = begin(machine);
      await caller.waitClosed();
      return caller.isWhole;
    };
    await waitFor(() => serves(FIRST), 'the first entry serves');
    await waitFor(() => serves(FROZEN), 'the second entry serves');
  });

  afterEach(async () => {
    servers.splice(0).forEach((server) => server.crash());
    await site.close();
  });

  // Fault: an entry that stood still while servers of another version joined, and reached no leader
  // afterwards, took the service for one of one version until its lease ended.
  it('should not be joined of two versions if no leader answers', async () => {
    site.freeze([`entry-${FROZEN}`]);
    // Otherwise the new servers would be in the answer that it reads once it goes on.
    await pause(HELD_MS);
    await addServers('v1.1', 'v1.1');
    await pause(HEARD_MS);
    const begun = Array.from({ length: STREAMS }, () => begin(FIRST));
    await Promise.all(begun.map((caller) => caller.waitEvents(EVENTS_BEFORE_KILL)));
    expect(begun.some(({ versions }) => versions.includes('v1.1'))).toBe(true);
    site.freeze(REPLICAS.map((machine) => `control-${machine}`));
    await site.endProcess(`entry-${FIRST}`, 'SIGKILL');
    site.resume([`entry-${FROZEN}`]);
    const callers = begun.map((caller) => (
      new StreamCaller(site.getCallerAddress(FROZEN), caller, CALLER_HEADERS)));
    await Promise.all(callers.map((caller) => caller.waitClosed()));
    const versions = callers.map((caller, position) => (
      [...new Set([...begun[position]?.versions ?? [], ...caller.versions])]));
    expect(versions.filter((names) => names.length > 1)).toEqual([]);
  });
});
