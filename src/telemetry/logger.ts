import pino from 'pino';
import type { LogLevel } from '../settings/settings';

/** Fields of a log line beside its message. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Writes structured lines. */
export type Logger = Readonly<Record<'debug' | 'info' | 'warn' | 'error', (
  message: string,
  fields?: LogFields,
) => void>>;

/** Bytes of lines that wait for a reader who is slow; what comes beyond is dropped and counted. */
const MAX_BUFFERED_BYTES = 1_048_576;
const STDOUT_FD = 1;

/*
 * Guards the event loop against a reader of the logs who stops reading: standard output is a pipe,
 * whose writes would block. Lines are written beside the loop, and dropped beyond a bound.
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

/** Lines that were dropped so far, as their reader was too slow. */
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
