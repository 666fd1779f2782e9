import { createHash } from 'node:crypto';

const sortKeys = (value: unknown): unknown => {
  if (Array.isArray(value)) return value.map(sortKeys);
  if (value === null || typeof value !== 'object') return value;
  return Object.fromEntries(
    Object.entries(value)
      .sort(([a], [b]) => (a < b ? -1 : 1))
      .map(([key, item]) => [key, sortKeys(item)]),
  );
};

/**
 * Formats JSON with sorted keys, so that equal documents have equal text.
 *
 * @example
 * formatCanonicalJson({ b: 1, a: 2 }); // '{"a":2,"b":1}'
 */
export const formatCanonicalJson = (value: unknown): string => JSON.stringify(sortKeys(value));

/**
 * Computes the SHA-256 of a text in hex.
 *
 * @example
 * computeSha256('secret');
 */
export const computeSha256 = (text: string | Buffer): string => createHash('sha256')
  .update(text)
  .digest('hex');
