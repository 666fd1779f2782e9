import pino from 'pino';
import type { LogLevel } from '../settings/settings';

/** Fields of a log line beside its message. */
export type LogFields = Readonly<Record<string, string | number | bigint | boolean | undefined>>;

/** Writes structured log lines. */
export type Logger = Readonly<Record<'debug' | 'info' | 'warn' | 'error', (
  message: string,
  fields?: LogFields,
) => void>>;

/** Limit on log lines buffered for a slow reader, in bytes; more lines are dropped and counted. */
const MAX_BUFFERED_BYTES = 1_048_576;
const STDOUT_FD = 1;

/*
 * Standard output is a pipe, so synchronous writes would block the event loop when the reader of
 * the logs stops reading. Lines are written asynchronously instead, and dropped beyond a limit.
 */
const openOutput = () => pino.destination({
  dest: STDOUT_FD, sync: false, maxLength: MAX_BUFFERED_BYTES,
});

let output: ReturnType<typeof openOutput> | undefined;

let droppedLines = 0;

const getOutput = (): ReturnType<typeof openOutput> => {
  if (output) return output;
  output = openOutput();
  output.on('drop', () => {
    droppedLines += 1;
  });
  process.on('exit', () => output?.flushSync());
  return output;
};

/** Counts the log lines that were dropped so far because the reader was too slow. */
export const countDroppedLines = (): number => droppedLines;

/**
 * Makes a logger whose lines are JSON on standard output.
 *
 * @example
 * const logger = makeLogger('entry/e1', 'info');
 * logger.info('request refused', { requestId, code: 2001 });
 */
export const makeLogger = (name: string, level: LogLevel): Logger => {
  const logger = pino({
    level,
    base: { process: name },
    messageKey: 'message',
    timestamp: pino.stdTimeFunctions.isoTime,
    formatters: { level: (label) => ({ level: label }) },
  }, getOutput());
  return {
    debug: (message, fields = {}) => logger.debug(fields, message),
    info: (message, fields = {}) => logger.info(fields, message),
    warn: (message, fields = {}) => logger.warn(fields, message),
    error: (message, fields = {}) => logger.error(fields, message),
  };
};
