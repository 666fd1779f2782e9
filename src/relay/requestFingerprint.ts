import { createHash } from 'node:crypto';

/** The content by which a resend of a request is recognized. */
export interface RequestContent {
  readonly method: string;
  readonly host: string;
  /** Path and query as received. */
  readonly target: string;
  /** Client account that sent the request; empty if the route requires no key. */
  readonly account: string;
  readonly body: Buffer;
}

/** Hex digits of a fingerprint: 128 bits. */
const FINGERPRINT_DIGITS = 32;

/**
 * Computes the fingerprint of a request. Resends have the same fingerprint although they have other
 * ids, use other connections and may arrive at other entries. The account is part of it, so that
 * the requests of different accounts never share a fingerprint.
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
