import { toBeechliftError } from '../errors/beechliftError';
import { parseControlSettings, parseEntrySettings, readTextFile } from '../settings/loadSettings';
import { wireControl, wireEntry } from '../wiring';
import { EXIT_CODES, printError } from './output';

const STOP_SIGNALS = ['SIGTERM', 'SIGINT'] as const;

/** Shuts the process down gracefully on the first signal, and exits at once on the second. */
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

/** Starts a process; exits if that fails, even with connections or files open. */
const exitOnStartFailure = async (start: () => Promise<void>): Promise<void> => {
  try {
    await start();
  } catch (thrown) {
    process.exit(printError(toBeechliftError(thrown), false));
  }
};

/** Runs an entry until a stop signal. */
export const runEntry = (settingsFile: string): Promise<void> => exitOnStartFailure(async () => {
  const settings = parseEntrySettings(readTextFile(settingsFile));
  const { shutDown } = await wireEntry(settings);
  stopOnSignal(shutDown);
});

/*
 * Exits after a failed write to disk: votes that are not stored would be lost in a restart. The
 * other replicas continue without this one.
 */
const exitOnStorageFailure = (error: unknown): void => {
  process.exit(printError(toBeechliftError(error), false));
};

/** Runs a control replica until a stop signal. */
export const runControl = (settingsFile: string): Promise<void> => exitOnStartFailure(async () => {
  const settings = parseControlSettings(readTextFile(settingsFile));
  const { shutDown } = await wireControl(settings, exitOnStorageFailure);
  stopOnSignal(shutDown);
});
