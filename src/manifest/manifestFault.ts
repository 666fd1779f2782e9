import { resultCodes } from '../errors/resultCodes';
import type { ResultCode } from '../errors/resultCodes';

/** A reason why a manifest is rejected. */
export interface ManifestFault {
  readonly code: ResultCode;
  /** JSON pointer into the manifest. */
  readonly path: string;
  readonly message: string;
}

/**
 * Formats a fault as one line for operators.
 *
 * @example
 * formatFault({ code: 'danglingName', path: '/pools/fast', message: 'no model "x"' });
 */
export const formatFault = ({ code, path, message }: ManifestFault): string => (
  `${resultCodes[code].number} ${code} at ${path}: ${message}`
);
