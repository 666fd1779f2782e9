import type { Ballot, ClaimRecord, ClaimValue } from '../../protocol/generated/beechlift';
import type { ResultCode } from '../../errors/resultCodes';
import { compareBallots, ZERO_BALLOT } from './ballot';

/** State of the request that a claim is for. */
export type ClaimState = 'dispatched' | 'finished' | 'released';

/** A claim as stored by one holder. */
export interface ClaimEntity {
  readonly key: string;
  promised: Ballot;
  accepted: Ballot;
  value: ClaimValue | undefined;
  /** Last change, monotonic milliseconds. */
  touchedAt: number;
}

/** The claims of one holder, least recently changed first. */
export interface ClaimTable {
  readonly claims: Map<string, ClaimEntity>;
  /** Total bytes of the stored answers, limited by `ClaimBounds.maxBytes`. */
  bytes: number;
}

/** Limits of a claim table. */
export interface ClaimBounds {
  readonly retentionMs: number;
  readonly maxClaims: number;
  readonly maxBytes: number;
}

/** Default limits, chosen to keep a holder well within its memory. */
export const DEFAULT_CLAIM_BOUNDS: ClaimBounds = {
  retentionMs: 600_000, maxClaims: 400_000, maxBytes: 268_435_456,
};

/** Reply of a holder, and the record that must be synced before the reply is sent. */
export interface ClaimDecision {
  readonly ok: boolean;
  readonly code: ResultCode | 'accepted';
  readonly promised: Ballot;
  readonly accepted: Ballot;
  readonly value: ClaimValue | undefined;
  readonly record: ClaimRecord | undefined;
}

/** Creates an empty table. */
export const makeClaimTable = (): ClaimTable => ({ claims: new Map(), bytes: 0 });

const countBytes = (value: ClaimValue | undefined): number => value?.answer.length ?? 0;

const makeRecord = ({
  key, promised, accepted, value,
}: ClaimEntity): ClaimRecord => ({
  key, promised, accepted, value,
});

const makeDecision = (
  claim: ClaimEntity,
  ok: boolean,
  code: ResultCode | 'accepted',
): ClaimDecision => ({
  ok,
  code,
  promised: claim.promised,
  accepted: claim.accepted,
  value: claim.value,
  record: ok ? makeRecord(claim) : undefined,
});

const makeClaim = (key: string, now: number): ClaimEntity => ({
  key, promised: ZERO_BALLOT, accepted: ZERO_BALLOT, value: undefined, touchedAt: now,
});

/** Moves a claim to the end of the table, so that expired claims are at its start. */
const touchClaim = (table: ClaimTable, claim: ClaimEntity, now: number): void => {
  claim.touchedAt = now;
  table.claims.delete(claim.key);
  table.claims.set(claim.key, claim);
};

const isFull = (table: ClaimTable, key: string, bounds: ClaimBounds): boolean => (
  !table.claims.has(key)
  && (table.claims.size >= bounds.maxClaims || table.bytes >= bounds.maxBytes)
);

/**
 * Promises to accept nothing below a ballot and returns what was accepted so far. An entry that has
 * the promise of a majority may dispatch the request, until another entry obtains a promise with a
 * higher ballot.
 *
 * @example
 * const decision = prepareClaim(table, bounds, key, { round: 1, proposer: 'e1' }, clock.now());
 */
export const prepareClaim = (
  table: ClaimTable,
  bounds: ClaimBounds,
  key: string,
  ballot: Ballot,
  now: number,
): ClaimDecision => {
  const claim = table.claims.get(key) ?? makeClaim(key, now);
  if (isFull(table, key, bounds)) return makeDecision(claim, false, 'claimsFull');
  if (compareBallots(ballot, claim.promised) <= 0) return makeDecision(claim, false, 'ballotTooLow');
  claim.promised = ballot;
  touchClaim(table, claim, now);
  return makeDecision(claim, true, 'accepted');
};

/**
 * Accepts a value unless a higher ballot was promised. This guards against a paused entry that
 * resumes after its claim was taken over: its ballot is lower than the one that the majority has
 * promised meanwhile, so its dispatch is rejected before any byte is sent.
 */
export const acceptClaim = (
  table: ClaimTable,
  bounds: ClaimBounds,
  key: string,
  ballot: Ballot,
  value: ClaimValue,
  now: number,
): ClaimDecision => {
  const claim = table.claims.get(key) ?? makeClaim(key, now);
  if (isFull(table, key, bounds)) return makeDecision(claim, false, 'claimsFull');
  if (compareBallots(ballot, claim.promised) < 0) return makeDecision(claim, false, 'ballotTooLow');
  table.bytes += countBytes(value) - countBytes(claim.value);
  claim.promised = ballot;
  claim.accepted = ballot;
  claim.value = value;
  touchClaim(table, claim, now);
  return makeDecision(claim, true, 'accepted');
};

/**
 * Merges a record from disk or from another holder into the table. The higher accepted ballot wins.
 *
 * @example
 * records.forEach((record) => mergeClaim(table, record, clock.now()));
 */
export const mergeClaim = (table: ClaimTable, record: ClaimRecord, now: number): ClaimEntity => {
  const claim = table.claims.get(record.key) ?? makeClaim(record.key, now);
  const promised = record.promised ?? ZERO_BALLOT;
  const accepted = record.accepted ?? ZERO_BALLOT;
  if (compareBallots(promised, claim.promised) > 0) claim.promised = promised;
  if (compareBallots(accepted, claim.accepted) > 0) {
    table.bytes += countBytes(record.value) - countBytes(claim.value);
    claim.accepted = accepted;
    claim.value = record.value;
  }
  touchClaim(table, claim, now);
  return claim;
};

/**
 * Removes claims that have not changed within the retention time and returns their number.
 *
 * @example
 * expireClaims(table, bounds, clock.now());
 */
export const expireClaims = (table: ClaimTable, bounds: ClaimBounds, now: number): number => {
  const ordered = [...table.claims.values()];
  const firstKept = ordered.findIndex(({ touchedAt }) => now - touchedAt < bounds.retentionMs);
  const expired = firstKept < 0 ? ordered : ordered.slice(0, firstKept);
  expired.forEach((claim) => {
    table.bytes -= countBytes(claim.value);
    table.claims.delete(claim.key);
  });
  return expired.length;
};

/** Lists all claims as records, for a compacted file or another holder. */
export const listClaimRecords = (table: ClaimTable): ClaimRecord[] => (
  [...table.claims.values()].map(makeRecord)
);
