import { gunzipSync } from 'node:zlib';
import type { WatchReply } from '../protocol/generated/beechlift';

/** Bound on what a packed document may come to, in bytes: that of a message between processes. */
const MAX_BYTES = 67_108_864;

/**
 * Reads the document that a reply brings; empty where it brings none. Throws for one that is packed
 * and cannot be unpacked.
 *
 * @example
 * const document = readDocument(reply);
 */
export const readDocument = ({ document, packedDocument }: WatchReply): string => (
  packedDocument.length > 0
    ? gunzipSync(packedDocument, { maxOutputLength: MAX_BYTES }).toString('utf8')
    : document
);
