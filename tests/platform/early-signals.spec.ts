import {
  afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import { PlatformSite } from '../fakes/platformSite';
import type { ProcessEnd } from '../fakes/platformSite';
import { RawCaller } from '../fakes/rawCaller';
import type { CallerResult } from '../fakes/rawCaller';
import { checkRefused } from '../fakes/stoppingCalls';

const MACHINES = [4, 5, 6, 7];
const TIMEOUT_MS = 30_000;
/** Time in which a process ends that has nothing to complete, in milliseconds. */
const MAX_END_MS = 2_000;

describe('a process that is stopped while its program starts', () => {
  let site: PlatformSite;

  const ends = new Map<string, ProcessEnd>();

  beforeEach(async () => {
    ends.clear();
    site = await PlatformSite.open({ recordEnd: (name, end) => ends.set(name, end) });
  });

  afterEach(() => site.close());

  /** Connects as soon as the port is open. */
  const openFirst = (address: string): Promise<RawCaller> => (
    RawCaller.open(address).catch(() => openFirst(address)));

  /** Starts an entry, and stops it in the moment in which its first caller connects. */
  const stopAtFirstCaller = async (machine: number): Promise<CallerResult> => {
    site.startEntry(machine);
    const caller = await openFirst(site.getCallerAddress(machine));
    const asked = caller.send({
      id: 'r', path: '/a/', headers: { 'attempt-id': 'r', 'deadline-ms': 3_000 },
    });
    await site.endProcess(`entry-${machine}`, 'SIGTERM');
    return asked;
  };

  // Fault: signals were handled only once all ports listened, and callers come as soon as the first
  // one does: the process ended at once and cut their requests.
  it('should answer the callers of an entry, and end by itself', async () => {
    const results = await Promise.all(MACHINES.map(stopAtFirstCaller));
    results.forEach(checkRefused);
    expect([...ends.values()].map(({ code }) => code)).toEqual(MACHINES.map(() => 0));
  }, TIMEOUT_MS);

  // Guards against a stop that waits for a start without limit: a founder waits for the others.
  it('should end soon if a control replica waits for others', async () => {
    site.startControl(1, true);
    const caller = await openFirst(`127.0.0.1:${site.operatorPort}`);
    const signalAt = performance.now();
    expect(await site.endProcess('control-1', 'SIGTERM')).toBe(0);
    expect(performance.now() - signalAt).toBeLessThan(MAX_END_MS);
    caller.close();
  }, TIMEOUT_MS);
});
