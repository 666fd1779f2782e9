import type { BeechliftError } from '../errors/beechliftError';
import { resultCodes } from '../errors/resultCodes';

/** Exit codes that a pipeline can branch on. */
export const EXIT_CODES = {
  done: 0,
  /** The input was refused; a retry would fail as well. */
  refused: 1,
  /** The command line was wrong. */
  usage: 2,
  /** The system did not answer or could not decide; a retry is safe. */
  unavailable: 3,
  /** Internal error, or failure of the local machine such as its disk. */
  fault: 4,
} as const;

/** Prints a result as text, or as JSON for pipelines. */
export const printResult = (result: object, text: string, asJson: boolean): void => {
  process.stdout.write(`${asJson ? JSON.stringify(result) : text}\n`);
};

const pickExitCode = (error: BeechliftError): number => {
  const { status } = resultCodes[error.code];
  if (status === 503) return EXIT_CODES.unavailable;
  return status >= 500 ? EXIT_CODES.fault : EXIT_CODES.refused;
};

/**
 * Prints an error and returns its exit code.
 *
 * @example
 * process.exitCode = printError(toBeechliftError(thrown), argv.json);
 */
export const printError = (error: BeechliftError, asJson: boolean): number => {
  const text = `${error.number} ${error.code}: ${error.message}\n${resultCodes[error.code].action}`;
  process.stderr.write(`${asJson ? JSON.stringify(error.buildBody()) : text}\n`);
  return pickExitCode(error);
};
