import { readDecimal } from './readDecimal';

/**
 * Parses a rate limit in requests per second; returns 0 if there is none, and NaN if the text is
 * not a decimal number.
 *
 * @example
 * readRateLimit('1.4'); // 1.4
 */
export const readRateLimit = (text: string | undefined): number => (
  text === undefined ? 0 : readDecimal(text));
