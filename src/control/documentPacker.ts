import type { SiteDocument } from '../core/routing/siteDocument';
import type { WatchReply } from '../protocol/generated/beechlift';
import { packLarge } from '../utils/packedText';

/** Fields of a watch reply that carry the document, plain or packed. */
export type DocumentPart = Pick<WatchReply, 'document' | 'packedDocument'>;

const NO_BYTES = Buffer.alloc(0);

/** Fields of a watch reply without a document. */
export const NO_DOCUMENT_PART: DocumentPart = { document: '', packedDocument: NO_BYTES };

/**
 * Packs the current document, once for all entries.
 *
 * As text, a document of 1,800 routes takes at least 0.4 s on a 7 Mbit/s link of an entry. An entry
 * abandons a watch request after half a second, and would then request the whole document again.
 * Packed, the transfer takes less than 0.1 s.
 *
 * @example
 * const part = packer.build(site); // the same buffer until the document changes
 */
export class DocumentPacker {
  private digest = '';

  private part = NO_DOCUMENT_PART;

  /** Builds the fields of a watch reply that carry a document. */
  build({ digest, document }: SiteDocument): DocumentPart {
    if (this.digest !== digest) {
      const packed = packLarge(document);
      this.part = packed ? { document: '', packedDocument: packed } : { document, packedDocument: NO_BYTES };
      this.digest = digest;
    }
    return this.part;
  }
}
