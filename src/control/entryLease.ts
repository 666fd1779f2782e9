/** What a lease of an entry must keep to. */
export interface LeaseBounds {
  /** Milliseconds after its acknowledgement in which a key that was taken away opens nothing. */
  readonly revokeMs: number;
  /** Milliseconds after its acknowledgement in which any other change is in force everywhere. */
  readonly applyMs: number;
}

/**
 * Held back from the bounds, in milliseconds: for clocks that run at unlike rates, and for requests
 * that are admitted in the last moment.
 */
const REVOKE_MARGIN_MS = 1_000;
const APPLY_MARGIN_MS = 200;

/**
 * Computes for how long an entry may serve by what it was told, in milliseconds.
 *
 * Guards against an entry that goes by an older document after a change must be in force: it shows
 * as a route that was added and answers 404, or a request that an older version sends elsewhere.
 * A lease counts from before the question, the question was answered before the change was
 * accepted, and that is before it is acknowledged: so no lease under the document before outlives
 * the bound, whether the leader's answers are late, lost, or the leader is another one by now.
 *
 * @example
 * const leaseMs = computeLeaseMs({ revokeMs: 5_000, applyMs: 2_500 }); // 2_300
 */
export const computeLeaseMs = ({ revokeMs, applyMs }: LeaseBounds): number => Math.max(0, Math.min(
  revokeMs - REVOKE_MARGIN_MS,
  applyMs - APPLY_MARGIN_MS,
));
