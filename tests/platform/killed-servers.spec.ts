import { fork } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import {
  afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import { WorkerAnnouncement } from '../../src/protocol/generated/beechlift';
import { waitFor } from '../fakes/controlSite';
import { PlatformSite } from '../fakes/platformSite';
import { buildStreamDocument, CALLER_HEADERS } from '../fakes/platformStreams';
import { StreamCaller } from '../fakes/streamCaller';

const REPLICAS = [1, 2, 3];
const ENTRY = 4;
const SERVERS = ['i-0', 'i-1'];
const STREAMS = 6;
const EVENTS_BEFORE_KILL = 4;

describe('streams without a length whose server is killed', () => {
  let site: PlatformSite;
  let programs: ChildProcess[];

  const begin = (): StreamCaller => (
    new StreamCaller(site.getCallerAddress(ENTRY), {}, CALLER_HEADERS));

  beforeEach(async () => {
    site = await PlatformSite.open();
    REPLICAS.forEach((machine) => site.startControl(machine, true));
    site.startEntry(ENTRY);
    programs = SERVERS.map((id) => fork('tests/fakes/serverProgram.ts', [id], { execArgv: ['--import', 'tsx'], serialization: 'advanced' }));
    programs.forEach((program) => program.on('message', (message) => {
      // The next announcement follows soon.
      site.announce(WorkerAnnouncement.fromPartial(message as object)).catch(() => undefined);
    }));
  });

  afterEach(async () => {
    programs.forEach((program) => program.kill('SIGKILL'));
    await site.close();
  });

  const killUnderStreams = async (isResumable: boolean): Promise<readonly StreamCaller[]> => {
    await site.publish(buildStreamDocument(isResumable));
    const isServed = async (): Promise<boolean> => {
      const callers = Array.from({ length: STREAMS }, begin);
      await Promise.all(callers.map((caller) => caller.waitClosed()));
      return callers.every(({ looksComplete, isWhole }) => looksComplete && isWhole);
    };
    await waitFor(isServed, 'the entry serves whole streams');
    const callers = Array.from({ length: STREAMS }, begin);
    await Promise.all(callers.map((caller) => caller.waitEvents(EVENTS_BEFORE_KILL)));
    programs[0]?.kill('SIGKILL');
    await Promise.all(callers.map((caller) => caller.waitClosed()));
    return callers;
  };

  // Fault: the operating system closes the connections of a killed process in an orderly way, and
  // the entry ended the streams of that server as complete.
  it('should be continued if they may be resumed', async () => {
    const callers = await killUnderStreams(true);
    expect(callers.map(({ isWhole, looksComplete }) => isWhole && looksComplete))
      .toEqual(callers.map(() => true));
  });

  it('should not look complete if they may not be resumed', async () => {
    const callers = await killUnderStreams(false);
    expect(callers.filter(({ isWhole }) => !isWhole)).not.toEqual([]);
    expect(callers.filter(({ isWhole, looksComplete }) => looksComplete && !isWhole)).toEqual([]);
  });
});
