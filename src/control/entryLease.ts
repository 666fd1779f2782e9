/** Bounds on the lease of an entry. */
export interface LeaseBounds {
  /** Milliseconds after which an acknowledged key revocation must be effective everywhere. */
  readonly revokeMs: number;
  /** Milliseconds after which any other acknowledged change must be effective everywhere. */
  readonly applyMs: number;
}

/**
 * Margins below the bounds, in milliseconds: for clocks that run at different rates, and for
 * requests that are admitted at the end of a lease.
 */
const REVOKE_MARGIN_MS = 1_000;
const APPLY_MARGIN_MS = 200;

/**
 * Computes how long an entry may serve after a watch request without a new reply, in milliseconds.
 *
 * This prevents an entry from using an old document after a change must be effective. Clients would
 * see 404 for a new route, or a request routed by the old version. A lease starts before its watch
 * request is sent, the leader answers the request before it accepts the change, and acknowledges
 * the change after that. So no lease under the old document outlives the bound, even if replies of
 * the leader are late or lost, or another replica leads by then.
 *
 * @example
 * const leaseMs = computeLeaseMs({ revokeMs: 5_000, applyMs: 2_500 }); // 2_300
 */
export const computeLeaseMs = ({ revokeMs, applyMs }: LeaseBounds): number => Math.max(0, Math.min(
  revokeMs - REVOKE_MARGIN_MS,
  applyMs - APPLY_MARGIN_MS,
));
