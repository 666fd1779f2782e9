import loglevel from 'loglevel';
import type { LogLevel } from '../settings/settings';

/** Fields of a log line beside its message. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Writes structured lines. */
export type Logger = Readonly<Record<'debug' | 'info' | 'warn' | 'error', (
  message: string,
  fields?: LogFields,
) => void>>;

const writeLine = (level: string, process: string, message: string, fields: LogFields): void => {
  const line = {
    time: new Date().toISOString(), level, process, message, ...fields,
  };
  console.error(JSON.stringify(line));
};

/**
 * Makes a logger whose lines are JSON on standard error.
 *
 * @example
 * const logger = makeLogger('entry/e1', 'info');
 * logger.info('request refused', { requestId, code: 2001 });
 */
export const makeLogger = (process: string, level: LogLevel): Logger => {
  const logger = loglevel.getLogger(process);
  logger.methodFactory = (name) => (message: string, fields: LogFields = {}) => {
    writeLine(name, process, message, fields);
  };
  logger.setLevel(level, false);
  return logger;
};
