import type { WatchReply } from '../protocol/generated/beechlift';
import { unpackText } from '../utils/packedText';

/**
 * Reads the document that a reply brings; empty where it brings none. Throws for one that is packed
 * and cannot be unpacked.
 *
 * @example
 * const document = readDocument(reply);
 */
export const readDocument = ({ document, packedDocument }: WatchReply): string => (
  packedDocument.length > 0 ? unpackText(packedDocument) : document
);
