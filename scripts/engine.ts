/** Runs one engine stand-in as a process of its own; its options are JSON in the first argument. */
import { EngineStandIn } from '../tests/fakes/engineStandIn';
import type { StandInOptions } from '../tests/fakes/engineStandIn';

const options = JSON.parse(process.argv[2] ?? '{}') as StandInOptions;
const engine = new EngineStandIn(options);

engine.start(options.port).catch((error: unknown) => {
  process.stderr.write(`${String(error)}\n`);
  process.exitCode = 1;
});
process.on('SIGTERM', () => process.exit(0));
