/** The replicated state of a routed site: one document; the highest version is in force. */

/** What the log carries. */
export interface DocumentCommand {
  readonly version: number;
  readonly document: string;
}

/** The document in force; version 0 before the first. */
export interface SiteDocument {
  readonly version: number;
  readonly digest: string;
  readonly document: string;
}

/** A site that has accepted nothing. */
export const NO_DOCUMENT: SiteDocument = { version: 0, digest: '', document: '' };

/**
 * Applies a committed command.
 *
 * Guards against a change that was overtaken, or that comes again after its acknowledgement was
 * lost: a version that is not higher changes nothing, whatever its content, so nothing that was in
 * force comes back.
 *
 * @example
 * state = applyDocument(state, JSON.parse(entry.command), digest);
 */
export const applyDocument = (
  state: SiteDocument,
  { version, document }: DocumentCommand,
  digest: string,
): SiteDocument => (version > state.version ? { version, document, digest } : state);

/**
 * Reads the state from a snapshot of the log; an empty text is a site that has accepted nothing.
 *
 * @example
 * state = parseSiteDocument(snapshot.data);
 */
export const parseSiteDocument = (data: string): SiteDocument => (
  data === '' ? NO_DOCUMENT : JSON.parse(data) as SiteDocument
);
