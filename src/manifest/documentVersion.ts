/**
 * Versions of routing documents. Operators number documents as they like, for example by the time
 * in nanoseconds. A number would hold such a version rounded, so two versions could become one.
 */

/** Version of a document; 0 before the first. */
export type DocumentVersion = bigint;

/** Highest version that the messages between processes can hold: an unsigned 64-bit integer. */
export const MAX_DOCUMENT_VERSION: DocumentVersion = 2n ** 64n - 1n;

/** A version in stored JSON: its digits if a number cannot hold it. */
export type StoredVersion = number | string;

/**
 * Converts a version to its form in stored JSON. Versions that a number holds are numbers, as in
 * the data of earlier releases.
 *
 * @example
 * toStoredVersion(7n); // 7
 * toStoredVersion(1764866186123456789n); // '1764866186123456789'
 */
export const toStoredVersion = (version: DocumentVersion): StoredVersion => (
  version <= BigInt(Number.MAX_SAFE_INTEGER) ? Number(version) : String(version));

/** Parses the version in a message or in stored JSON. */
export const parseVersion = (version: StoredVersion): DocumentVersion => BigInt(version);
