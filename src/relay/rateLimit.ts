const DECIMAL = /^\d+(\.\d+)?$/;

/**
 * Parses a rate limit in requests per second; returns 0 if there is none, and NaN if the text is
 * not a decimal number.
 *
 * @example
 * readRateLimit('1.4'); // 1.4
 */
export const readRateLimit = (text: string | undefined): number => {
  if (text === undefined) return 0;
  const digits = text.trim();
  return DECIMAL.test(digits) ? Number(digits) : NaN;
};
