import type { SiteDocument } from '../core/routing/siteDocument';
import type { WatchReply } from '../protocol/generated/beechlift';
import { packLarge } from '../utils/packedText';

/** The part of a reply that brings the document, as it is or packed. */
export type DocumentPart = Pick<WatchReply, 'document' | 'packedDocument'>;

const NOTHING = Buffer.alloc(0);

/** What brings no document. */
export const NO_DOCUMENT_PART: DocumentPart = { document: '', packedDocument: NOTHING };

/**
 * Packs the document in force, once for all entries.
 *
 * Guards changes that add many routes: as text, a document of 1,800 routes takes 0.4 s and more of
 * an entry's link of 7 Mbit/s, and an entry gives a question up half a second after it asked; then
 * it asks for all of it again. Packed, it takes under 0.1 s.
 *
 * @example
 * const part = packer.build(site); // the same buffer until the document changes
 */
export class DocumentPacker {
  private digest = '';

  private part = NO_DOCUMENT_PART;

  /** The part of a reply that brings a document. */
  build({ digest, document }: SiteDocument): DocumentPart {
    if (this.digest !== digest) {
      const packed = packLarge(document);
      this.part = packed ? { document: '', packedDocument: packed } : { document, packedDocument: NOTHING };
      this.digest = digest;
    }
    return this.part;
  }
}
