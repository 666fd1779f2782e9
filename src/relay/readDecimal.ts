const DECIMAL = /^\d+(\.\d+)?$/;

/**
 * Parses a header value that is a plain decimal number; returns NaN for any other text, such as a
 * date, a sign or an exponent.
 *
 * @example
 * readDecimal(' 2.5 '); // 2.5
 */
export const readDecimal = (text: string): number => {
  const digits = text.trim();
  return DECIMAL.test(digits) ? Number(digits) : NaN;
};
