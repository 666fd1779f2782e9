const MS_PER_SECOND = 1_000;
const SECONDS = /^\d+(\.\d+)?$/;

/**
 * Reads a `Retry-After` in seconds, which may have a fraction; 0 where it names no time to come. A
 * date is not read: it would count by the server's clock, which may be off.
 *
 * @example
 * readRetryAfterMs('2.5'); // 2500
 */
export const readRetryAfterMs = (text: string | undefined): number => {
  const seconds = text?.trim() ?? '';
  return SECONDS.test(seconds) ? Number(seconds) * MS_PER_SECOND : 0;
};
