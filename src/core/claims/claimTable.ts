import type { Ballot, ClaimRecord, ClaimValue } from '../../protocol/generated/beechlift';
import type { ResultCode } from '../../errors/resultCodes';
import { compareBallots, ZERO_BALLOT } from './ballot';

/** What a claim says of its request. */
export type ClaimState = 'dispatched' | 'finished' | 'released';

/** A claim as one holder keeps it. */
export interface ClaimEntity {
  readonly key: string;
  promised: Ballot;
  accepted: Ballot;
  value: ClaimValue | undefined;
  /** Last change, monotonic milliseconds. */
  touchedAt: number;
}

/** The claims of one holder, oldest change first. */
export interface ClaimTable {
  readonly claims: Map<string, ClaimEntity>;
  /** Bytes of kept answers, which are bounded. */
  bytes: number;
}

/** Bounds of a claim table. */
export interface ClaimBounds {
  readonly retentionMs: number;
  readonly maxClaims: number;
  readonly maxBytes: number;
}

/** Bounds that keep a holder well within its memory. */
export const DEFAULT_CLAIM_BOUNDS: ClaimBounds = {
  retentionMs: 600_000, maxClaims: 400_000, maxBytes: 268_435_456,
};

/** A holder's answer, and the record to sync before the answer leaves. */
export interface ClaimDecision {
  readonly ok: boolean;
  readonly code: ResultCode | 'accepted';
  readonly promised: Ballot;
  readonly accepted: Ballot;
  readonly value: ClaimValue | undefined;
  readonly record: ClaimRecord | undefined;
}

/** Makes an empty table. */
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

/** Moves a claim to the newest end, so that expiry looks at the oldest only. */
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
 * Promises to take nothing below a ballot, and tells what was accepted so far. The promise is the
 * claim: whoever holds it at a majority may dispatch, until another takes it with a higher ballot.
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

/*
 * Guards against a paused entry that wakes after its claim was taken over: its ballot is below what
 * the majority has promised since, so its dispatch is refused before any byte leaves.
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
 * Puts a record from disk or from another holder into the table; the higher accepted ballot wins.
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
 * Forgets claims that have not changed for the retention; returns how many.
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

/** All claims as records, for a compacted file or another holder. */
export const listClaimRecords = (table: ClaimTable): ClaimRecord[] => (
  [...table.claims.values()].map(makeRecord)
);
