import { gunzipSync, gzipSync } from 'node:zlib';

/** Limit on an unpacked text, in bytes; equal to the limit on messages between processes. */
const MAX_UNPACKED_BYTES = 67_108_864;

/** Shortest text that is packed, in characters: with shorter ones, packing does not pay off. */
const MIN_PACKED_LENGTH = 16_384;

/**
 * Compresses a large text with gzip; returns undefined for a small one, which is sent as text.
 *
 * @example
 * const packed = packLarge(document); // undefined for a document of few routes
 */
export const packLarge = (text: string): Buffer | undefined => (
  text.length < MIN_PACKED_LENGTH ? undefined : gzipSync(text));

/**
 * Decompresses a result of `packLarge`; throws for other bytes and for more than 64 MiB of text.
 *
 * @example
 * const text = unpackText(bytes);
 */
export const unpackText = (bytes: Uint8Array): string => (
  gunzipSync(bytes, { maxOutputLength: MAX_UNPACKED_BYTES }).toString('utf8'));
