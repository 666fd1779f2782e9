import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import type { FakeEngineOptions } from '../tests/fakes/fakeEngine';
import { findFreeAddress } from '../tests/fakes/freeAddress';
import { waitUntil } from '../tests/fakes/testSite';
import type { TestSite } from '../tests/fakes/testSite';

/** A fake engine that runs in its own process. */
export interface BenchEngine {
  readonly child: ChildProcess;
  readonly address: string;
}

/** Starts an engine and waits until the entry that owns its pool lists it. */
export const startEngine = async (
  site: TestSite,
  options: Partial<FakeEngineOptions>,
): Promise<BenchEngine> => {
  const address = await findFreeAddress();
  const child = spawn(process.execPath, ['dist/engine.cjs', JSON.stringify({
    id: 'g1',
    pool: 'engines',
    hardware: 'fast',
    models: ['guide'],
    entries: site.entries.map((entry) => entry.address),
    announceMs: 250,
    loadLagMs: 0,
    recordFile: '',
    prefillMs: 0,
    cacheSize: 48,
    port: Number(address.split(':')[1]),
    ...options,
  })], { stdio: 'ignore' });
  const id = options.id ?? 'g1';
  await waitUntil(`engine ${id} is listed by the owner of its pool`, async () => (await site.listWorkers()).includes(id));
  return { child, address };
};
