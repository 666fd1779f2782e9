import { readDecimal } from './readDecimal';

const MS_PER_SECOND = 1_000;

/**
 * Parses a `Retry-After` in seconds, which may have a fraction; returns milliseconds, or 0 if there
 * is no such value. Dates are ignored, as the server's clock may be wrong.
 *
 * @example
 * readRetryAfterMs('2.5'); // 2500
 */
export const readRetryAfterMs = (text: string | undefined): number => {
  const seconds = readDecimal(text ?? '');
  return Number.isNaN(seconds) ? 0 : seconds * MS_PER_SECOND;
};
