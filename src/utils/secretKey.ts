import { createHash, timingSafeEqual } from 'node:crypto';

const hashKey = (key: string): Buffer => createHash('sha256').update(key).digest();

/**
 * Whether a key matches any of the hashes. Every hash is compared, each in constant time, so that
 * the duration reveals nothing about them.
 *
 * @example
 * if (!isKeyOf(key, account.keyHashes)) throw new BeechliftError('unknownKey', '…');
 */
export const isKeyOf = (key: string, hashes: readonly string[]): boolean => {
  const keyHash = hashKey(key);
  const matches = hashes.map((hash) => timingSafeEqual(keyHash, Buffer.from(hash, 'hex')));
  return matches.includes(true);
};
