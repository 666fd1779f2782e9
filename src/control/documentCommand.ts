import type { DocumentCommand } from '../core/routing/siteDocument';
import { parseVersion, toStoredVersion } from '../manifest/documentVersion';
import type { StoredVersion } from '../manifest/documentVersion';
import { WorkerRecord } from '../protocol/generated/beechlift';
import { packLarge, unpackText } from '../utils/packedText';

/**
 * A command in the log: with the plain document, with the packed document in base64, or with the
 * departure of a server.
 */
interface StoredCommand {
  readonly version: StoredVersion;
  readonly document?: string;
  readonly packed?: string;
  /** A server that leaves; the other fields then change nothing. */
  readonly departure?: WorkerRecord;
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
 * runner.propose(encodeCommand({ version: 7n, document }), operation);
 */
export const encodeCommand = ({ version: exact, document }: DocumentCommand): string => {
  const version = toStoredVersion(exact);
  const packed = packLarge(document)?.toString('base64');
  const stored: StoredCommand = packed === undefined ? { version, document } : { version, packed };
  return JSON.stringify(stored);
};

/** Decodes a command of the log; throws if its document cannot be unpacked. */
export const decodeCommand = (text: string): DocumentCommand => {
  const { version, document, packed } = JSON.parse(text) as StoredCommand;
  return { version: parseVersion(version), document: document ?? unpackText(Buffer.from(packed ?? '', 'base64')) };
};

/** Encodes the departure of a server for the log; earlier releases ignore its version 0. */
export const encodeDeparture = (departure: WorkerRecord): string => (
  JSON.stringify({ version: 0, document: '', departure } satisfies StoredCommand));

/** Decodes the departure of a server; undefined for a command with a document. */
export const decodeDeparture = (text: string): WorkerRecord | undefined => {
  const { departure } = JSON.parse(text) as StoredCommand;
  return departure && WorkerRecord.fromPartial(departure);
};
