import { computeSha256 } from './canonicalJson';

const HEX_DIGITS = 8;
const HASH_COUNT = 0x1_0000_0000;

/**
 * Computes a number from 0 (inclusive) to 1 (exclusive) that is always the same for a text, and
 * evenly distributed over different texts.
 *
 * @example
 * const isInFirstTenth = computeHashFraction(requestId) < 0.1;
 */
export const computeHashFraction = (text: string): number => (
  parseInt(computeSha256(text).slice(0, HEX_DIGITS), 16) / HASH_COUNT);
