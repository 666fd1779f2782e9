/** Replicated state of a routed site: one document, of which the highest version is in force. */
import { parseVersion, toStoredVersion } from '../../manifest/documentVersion';
import type { DocumentVersion, StoredVersion } from '../../manifest/documentVersion';

/** Command in the replicated log. */
export interface DocumentCommand {
  readonly version: DocumentVersion;
  readonly document: string;
}

/** The document in force; version 0 before the first. */
export interface SiteDocument {
  readonly version: DocumentVersion;
  readonly digest: string;
  readonly document: string;
}

/** State of a site that has not accepted a document yet. */
export const NO_DOCUMENT: SiteDocument = { version: 0n, digest: '', document: '' };

/**
 * Applies a committed command.
 *
 * A version that is not higher than the current one changes nothing, whatever its content. This
 * way a change that was overtaken, or sent again after its acknowledgement was lost, cannot restore
 * an earlier document.
 *
 * @example
 * state = applyDocument(state, decodeCommand(entry.command), digest);
 */
export const applyDocument = (
  state: SiteDocument,
  { version, document }: DocumentCommand,
  digest: string,
): SiteDocument => (version > state.version ? { version, document, digest } : state);

/** The state in a snapshot of the log. */
export type StoredDocument = Omit<SiteDocument, 'version'> & { readonly version: StoredVersion };

/** Converts the state to its form in a snapshot of the log, which is JSON. */
export const toStoredDocument = ({ version, ...rest }: SiteDocument): StoredDocument => (
  { ...rest, version: toStoredVersion(version) });

/**
 * Parses the state from a snapshot of the log; empty data means that no document was accepted yet.
 *
 * @example
 * state = parseSiteDocument(snapshot.data);
 */
export const parseSiteDocument = (data: string): SiteDocument => {
  if (data === '') return NO_DOCUMENT;
  const { version, digest, document } = JSON.parse(data) as StoredDocument;
  return { version: parseVersion(version), digest, document };
};
