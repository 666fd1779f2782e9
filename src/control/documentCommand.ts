import type { DocumentCommand } from '../core/routing/siteDocument';
import { packLarge, unpackText } from '../utils/packedText';

/** A command in the log: with the plain document, or with the packed document in base64. */
interface StoredCommand {
  readonly version: number;
  readonly document?: string;
  readonly packed?: string;
}

/**
 * Encodes a command for the log; large documents are packed.
 *
 * The log resends unacknowledged entries to each replica with each heartbeat. With plain documents
 * of many routes this saturated the leader's CPU and delayed its heartbeats; the other replicas
 * elected a new leader, which failed in the same way, and the change was never accepted. Packing
 * reduces a document to a tenth of its size.
 *
 * @example
 * runner.propose(encodeCommand({ version: 7, document }), operation);
 */
export const encodeCommand = ({ version, document }: DocumentCommand): string => {
  const packed = packLarge(document)?.toString('base64');
  const stored: StoredCommand = packed === undefined ? { version, document } : { version, packed };
  return JSON.stringify(stored);
};

/** Decodes a command of the log; throws if its document cannot be unpacked. */
export const decodeCommand = (text: string): DocumentCommand => {
  const { version, document, packed } = JSON.parse(text) as StoredCommand;
  return { version, document: document ?? unpackText(Buffer.from(packed ?? '', 'base64')) };
};
