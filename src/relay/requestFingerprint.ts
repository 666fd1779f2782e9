import { createHash } from 'node:crypto';

/** What two requests have in common when the second is the first one sent again. */
export interface RequestContent {
  readonly method: string;
  readonly host: string;
  /** Path and query as they came. */
  readonly target: string;
  /** Client account that sent it; empty where a route asks for no key. */
  readonly account: string;
  readonly body: Buffer;
}

/** Hex digits of a fingerprint: 128 bits. */
const FINGERPRINT_DIGITS = 32;

/**
 * Computes what a request has in common with its resends, which come under other ids, over other
 * connections and at other entries. The account is part of it, so that no caller's request can be
 * taken for another caller's.
 *
 * @example
 * const fingerprint = computeFingerprint({ method: 'POST', host, target, account: 'lobby', body });
 */
export const computeFingerprint = ({
  method, host, target, account, body,
}: RequestContent): string => createHash('sha256')
  .update(JSON.stringify([method, host.toLowerCase(), target, account]))
  .update(body)
  .digest('hex')
  .slice(0, FINGERPRINT_DIGITS);
