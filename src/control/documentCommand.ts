import type { DocumentCommand } from '../core/routing/siteDocument';
import { packLarge, unpackText } from '../utils/packedText';

/** A command as it stands in the log: with the document itself, or packed, in base64. */
interface StoredCommand {
  readonly version: number;
  readonly document?: string;
  readonly packed?: string;
}

/**
 * Encodes a command for the log.
 *
 * Guards the leader against documents of many routes. The log repeats to each replica what it has
 * not acknowledged yet, every 75 ms: with 470 KB for 1,449 routes and four replicas that filled the
 * leader's processor, the others missed it and elected another, which did the same. On a played day
 * five leaders followed one another and the change was accepted by none. Packed it has a tenth.
 *
 * @example
 * runner.propose(encodeCommand({ version: 7, document }), operation);
 */
export const encodeCommand = ({ version, document }: DocumentCommand): string => {
  const packed = packLarge(document)?.toString('base64');
  const stored: StoredCommand = packed === undefined ? { version, document } : { version, packed };
  return JSON.stringify(stored);
};

/** Decodes a command of the log; throws for one that cannot be unpacked. */
export const decodeCommand = (text: string): DocumentCommand => {
  const { version, document, packed } = JSON.parse(text) as StoredCommand;
  return { version, document: document ?? unpackText(Buffer.from(packed ?? '', 'base64')) };
};
