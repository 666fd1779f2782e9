import { BeechliftError, makeErrorFromNumber } from '../errors/beechliftError';
import type { ResultCode } from '../errors/resultCodes';

const CODED_DETAILS = /^(\d{4}) (\w+): ([\s\S]*)$/;

/**
 * Turns what a call threw into an error with a code: the code that the peer named, or the given one
 * when the call itself failed.
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
