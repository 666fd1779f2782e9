import { toBeechliftError } from '../errors/beechliftError';
import { parseControlSettings, parseEntrySettings, readTextFile } from '../settings/loadSettings';
import { wireControl, wireEntry } from '../wiring';
import { EXIT_CODES, printError } from './output';

const STOP_SIGNALS = ['SIGTERM', 'SIGINT'] as const;

/** Ends a process gracefully on the first signal, at once on the second. */
const stopOnSignal = (shutDown: () => Promise<void>): void => {
  let isStopping = false;
  STOP_SIGNALS.forEach((signal) => process.on(signal, () => {
    if (isStopping) process.exit(EXIT_CODES.fault);
    isStopping = true;
    shutDown()
      .then(() => process.exit(EXIT_CODES.done))
      .catch((error: unknown) => process.exit(printError(toBeechliftError(error), false)));
  }));
};

/** Ends a process that could not start, whatever it has open already. */
const exitOnStartFailure = async (start: () => Promise<void>): Promise<void> => {
  try {
    await start();
  } catch (thrown) {
    process.exit(printError(toBeechliftError(thrown), false));
  }
};

/** Runs an entry until it is told to stop. */
export const runEntry = (settingsFile: string): Promise<void> => exitOnStartFailure(async () => {
  const settings = parseEntrySettings(readTextFile(settingsFile));
  const { shutDown } = await wireEntry(settings);
  stopOnSignal(shutDown);
});

/*
 * Guards against a replica that goes on with a disk which refused a write: what it would vote for
 * could be gone after a restart. It ends, and the others go on without it.
 */
const exitOnStorageFailure = (error: unknown): void => {
  process.exit(printError(toBeechliftError(error), false));
};

/** Runs a control replica until it is told to stop. */
export const runControl = (settingsFile: string): Promise<void> => exitOnStartFailure(async () => {
  const settings = parseControlSettings(readTextFile(settingsFile));
  const { shutDown } = await wireControl(settings, exitOnStorageFailure);
  stopOnSignal(shutDown);
});
