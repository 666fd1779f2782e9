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
const ENTRIES = [4, 5];
const VERSIONS = ['v1', 'v1', 'v1.1', 'v1.1'];
const STREAMS = 12;
const EVENTS_BEFORE_KILL = 4;
/** How long the replicas are suspended while streams begin, and after the entries were killed. */
const LATE_MS = 700;
const RESUME_MS = 150;

describe('streams that callers take up when processes are killed', () => {
  let site: PlatformSite;
  let servers: VersionedServer[] = [];

  const begin = (machine: number): StreamCaller => (
    new StreamCaller(site.getCallerAddress(machine), {}, CALLER_HEADERS));

  const beginAtAll = (count: number): StreamCaller[] => (
    Array.from({ length: count }, (unused, number) => (
      begin(ENTRIES[number % ENTRIES.length] ?? 0))));

  const takeUp = async (machine: number, begun: readonly StreamCaller[]) => {
    const address = site.getCallerAddress(machine);
    const callers = begun.toReversed()
      .map((caller) => new StreamCaller(address, caller, CALLER_HEADERS)).reverse();
    await Promise.all(callers.map((caller) => caller.waitClosed()));
    return callers.map(({ isWhole, versions }, position) => (isWhole
      ? [...new Set([...begun[position]?.versions ?? [], ...versions])] : []));
  };

  beforeEach(async () => {
    site = await PlatformSite.open();
    REPLICAS.forEach((machine) => site.startControl(machine, true));
    ENTRIES.forEach((machine) => site.startEntry(machine));
    await site.publish(buildStreamDocument(true));
    servers = VERSIONS.map((software, position) => new VersionedServer({
      id: `i-${position}`, service: 's', software, announce: (announcement) => site.announce(announcement), headers: SERVER_HEADERS,
    }));
    await Promise.all(servers.map((server) => server.open()));
    const hasBothVersions = async (machine: number): Promise<boolean> => {
      const callers = VERSIONS.map(() => begin(machine));
      await Promise.all(callers.map((caller) => caller.waitClosed()));
      return callers.every(({ isWhole }) => isWhole)
        && new Set(callers.flatMap(({ versions }) => versions)).size === 2;
    };
    await waitFor(() => hasBothVersions(4), 'the first entry uses both versions');
    await waitFor(() => hasBothVersions(5), 'the second entry uses both versions');
  });

  afterEach(async () => {
    servers.forEach((server) => server.crash());
    await site.close();
  });

  const killEntries = async (machines: readonly number[]): Promise<void> => {
    await Promise.all(machines.map((machine) => site.endProcess(`entry-${machine}`, 'SIGKILL')));
  };

  const startEntries = async (machines: readonly number[]): Promise<void> => {
    machines.forEach((machine) => site.startEntry(machine));
    await Promise.all(machines.map((machine) => (
      waitFor(() => site.isReady(machine).catch(() => false), 'the entry is ready'))));
  };

  // A killed process reports nothing more, neither of its streams nor that it leaves.
  it.each([false, true])('should go on at the version that began them when their entry is killed, with the leader: %s', async (withLeader) => {
    const begun = Array.from({ length: STREAMS }, () => begin(4));
    await Promise.all(begun.map((caller) => caller.waitEvents(EVENTS_BEFORE_KILL)));
    const leader = await site.findLeader();
    await Promise.all([
      killEntries([4]),
      ...(withLeader ? [site.endProcess(`control-${leader}`, 'SIGKILL')] : []),
    ]);
    await Promise.all(begun.map((caller) => caller.waitClosed()));
    const versions = await takeUp(5, begun);
    expect(versions.filter((names) => names.length > 1)).toEqual([]);
    expect(versions.filter((names) => names.length === 1)).toHaveLength(STREAMS);
  });

  // No entry is left that could report a stream again.
  it('should go on at the version that began them when all entries are killed', async () => {
    const begun = beginAtAll(STREAMS);
    await Promise.all(begun.map((caller) => caller.waitEvents(EVENTS_BEFORE_KILL)));
    await killEntries(ENTRIES);
    await startEntries(ENTRIES);
    const versions = await takeUp(5, begun);
    expect(versions.filter((names) => names.length > 1)).toEqual([]);
    expect(versions.filter((names) => names.length === 1)).toHaveLength(STREAMS);
  });

  // Fault: a slot that the leader granted late counted as the begin of the stream, though its entry
  // had chosen a server itself, was killed and could not report it.
  it('should not be joined of two versions if the leader was late as they began and all entries are killed', async () => {
    const replicas = REPLICAS.map((machine) => `control-${machine}`);
    site.freeze(replicas);
    const begun = beginAtAll(2 * STREAMS);
    await pause(LATE_MS);
    await Promise.all(begun.map((caller) => caller.waitEvents(EVENTS_BEFORE_KILL)));
    await killEntries(ENTRIES);
    await pause(RESUME_MS);
    site.resume(replicas);
    await startEntries(ENTRIES);
    const versions = await takeUp(4, begun);
    expect(versions.filter((names) => names.length > 1)).toEqual([]);
  });
});
