import { gunzipSync, gzipSync } from 'node:zlib';

/** Bound on what a packed text may come to, in bytes: that of a message between processes. */
const MAX_UNPACKED_BYTES = 67_108_864;

/** Characters of a text from which on it is packed: below, packing saves less than it costs. */
const MIN_PACKED_LENGTH = 16_384;

/**
 * Packs a text by gzip where it is large; a small one is better sent as it is.
 *
 * @example
 * const packed = packLarge(document); // a tenth of a document of many routes; undefined of few
 */
export const packLarge = (text: string): Buffer | undefined => (
  text.length < MIN_PACKED_LENGTH ? undefined : gzipSync(text));

/**
 * Unpacks what `packLarge` made; throws for anything else, and beyond 64 MiB.
 *
 * @example
 * const text = unpackText(bytes);
 */
export const unpackText = (bytes: Uint8Array): string => (
  gunzipSync(bytes, { maxOutputLength: MAX_UNPACKED_BYTES }).toString('utf8'));
