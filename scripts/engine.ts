/** Runs a fake engine as a process. Its options are JSON in the first argument. */
import { FakeEngine } from '../tests/fakes/fakeEngine';
import type { FakeEngineOptions } from '../tests/fakes/fakeEngine';

const options = JSON.parse(process.argv[2] ?? '{}') as FakeEngineOptions;
const engine = new FakeEngine(options);

engine.start(options.port).catch((error: unknown) => {
  process.stderr.write(`${String(error)}\n`);
  process.exitCode = 1;
});
process.on('SIGTERM', () => process.exit(0));
