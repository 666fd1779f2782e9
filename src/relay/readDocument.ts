import type { WatchReply } from '../protocol/generated/beechlift';
import { unpackText } from '../utils/packedText';

/**
 * Returns the document in a reply; empty if there is none. Throws if a packed document cannot be
 * unpacked.
 *
 * @example
 * const document = readDocument(reply);
 */
export const readDocument = ({ document, packedDocument }: WatchReply): string => (
  packedDocument.length > 0 ? unpackText(packedDocument) : document
);
