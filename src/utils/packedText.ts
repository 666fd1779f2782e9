import { gunzipSync, gzipSync } from 'node:zlib';

/** Bound on what a packed text may come to, in bytes: that of a message between processes. */
const MAX_BYTES = 67_108_864;

/** Characters of a text from which on it is packed: below, packing saves less than it costs. */
export const PACKED_FROM = 16_384;

/**
 * Packs a text by gzip.
 *
 * @example
 * const bytes = packText(document); // a tenth of a document of many routes
 */
export const packText = (text: string): Buffer => gzipSync(text);

/**
 * Unpacks what `packText` made; throws for anything else, and beyond 64 MiB.
 *
 * @example
 * const text = unpackText(bytes);
 */
export const unpackText = (bytes: Uint8Array): string => (
  gunzipSync(bytes, { maxOutputLength: MAX_BYTES }).toString('utf8'));
