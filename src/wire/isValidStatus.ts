const LOWEST_STATUS = 100;
const HIGHEST_STATUS = 599;

/**
 * Whether a number is a status of an answer (RFC 9110, section 15). What follows an invalid one is
 * no answer that a caller could rely on.
 *
 * @example
 * if (!isValidStatus(status)) refuse();
 */
export const isValidStatus = (status: number): boolean => (
  status >= LOWEST_STATUS && status <= HIGHEST_STATUS
);
