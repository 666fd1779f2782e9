/** Composition root: creates the parts of each process and connects them. */
import { startControl } from './control/controlProcess';
import type { RunningControl } from './control/controlProcess';
import type { PolicySettings } from './core/schedule/scheduleTypes';
import { startEntry } from './entry/entryProcess';
import type { RunningEntry } from './entry/entryProcess';
import { makeAdminServer } from './http/adminServer';
import { makeCallerServer } from './http/callerServer';
import { listenOn } from './http/listenOn';
import type { ControlSettings, EntrySettings } from './settings/settings';
import { makeLogger } from './telemetry/logger';

/** A running process with its HTTP server. */
export interface WiredProcess<Running> {
  readonly running: Running;
  /** Address of its HTTP server. */
  readonly address: string;
  /** Waits for open requests, then stops. */
  readonly shutDown: () => Promise<void>;
}

/**
 * Starts an entry with its HTTP server.
 *
 * @example
 * const entry = await wireEntry(settings);
 */
export const wireEntry = async (
  settings: EntrySettings,
  policy?: PolicySettings,
): Promise<WiredProcess<RunningEntry>> => {
  const logger = makeLogger(`entry/${settings.id}`, settings.logLevel);
  const running = await startEntry({ settings, logger, policy });
  const app = makeCallerServer(running.api);
  const address = await listenOn(app, settings.callerAddress);
  running.setCallerAddress(address);
  logger.info('listening for callers', { address });
  return {
    running,
    address,
    shutDown: async () => {
      await running.drain();
      await app.close();
      await running.stop();
      logger.info('entry stopped');
    },
  };
};

/**
 * Starts a control replica with its HTTP server.
 *
 * @example
 * const control = await wireControl(settings, (error) => process.exit(1));
 */
export const wireControl = async (
  settings: ControlSettings,
  failStorage: (error: unknown) => void,
): Promise<WiredProcess<RunningControl>> => {
  const logger = makeLogger(`control/${settings.id}`, settings.logLevel);
  const running = await startControl({ settings, logger, failStorage });
  const app = makeAdminServer(running);
  const address = await listenOn(app, settings.adminAddress);
  logger.info('listening for operators', { address });
  return {
    running,
    address,
    shutDown: async () => {
      await app.close();
      await running.stop();
      logger.info('control replica stopped');
    },
  };
};
