import { BeechliftError, makeErrorFromNumber } from '../errors/beechliftError';
import type { ResultCode } from '../errors/resultCodes';

const CODED_DETAILS = /^(\d{4}) (\w+): ([\s\S]*)$/;

/**
 * Converts the error of a call to one with a result code: the code that the peer sent, or
 * `fallback` if the call itself failed.
 *
 * @example
 * .catch((thrown) => { throw toPeerError(thrown, 'noQuorum'); });
 */
export const toPeerError = (thrown: unknown, fallback: ResultCode): BeechliftError => {
  if (thrown instanceof BeechliftError) return thrown;
  const { details, message } = thrown as { details?: string; message?: string };
  const match = CODED_DETAILS.exec(details ?? '');
  if (match?.[1]) return makeErrorFromNumber(Number(match[1]), match[3] ?? '');
  return new BeechliftError(fallback, details ?? message ?? 'the call failed', { cause: thrown });
};
