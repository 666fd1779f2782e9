/** Restrictions on placing a request, according to the evidence against it. */

/**
 * - `none`: placed like any other request.
 * - `alone`: one copy at a time, on a server without another suspect.
 * - `held`: waits until its latest crash has been evaluated.
 * - `refused`: never placed.
 */
export type RestrictionKind = 'none' | 'alone' | 'held' | 'refused';

/** How one request may be placed. */
export interface PlacementRestriction {
  readonly kind: RestrictionKind;
  /** Remaining time of its refusal, in milliseconds. */
  readonly refusedMs: number;
}

/** Finds the restriction of a request by its fingerprint. */
export type RestrictionFinder = (fingerprint: string) => PlacementRestriction;

/** Restriction of a request without evidence against it. */
export const NO_RESTRICTION: PlacementRestriction = { kind: 'none', refusedMs: 0 };
