/** How a request that asks for a slot is to be treated, for what is known against it. */

/**
 * - `none`: as any other.
 * - `alone`: one copy at a time, on a server without another suspect.
 * - `held`: not yet, as a server has just ended under it.
 * - `refused`: never.
 */
export type RestrictionKind = 'none' | 'alone' | 'held' | 'refused';

/** What the placing of requests is told of one. */
export interface PlacementRestriction {
  readonly kind: RestrictionKind;
  /** What is left of a refusal, in milliseconds. */
  readonly refusedMs: number;
}

/** Looks a request up by its fingerprint. */
export type RestrictionFinder = (fingerprint: string) => PlacementRestriction;

/** Nothing is known against the request. */
export const NO_RESTRICTION: PlacementRestriction = { kind: 'none', refusedMs: 0 };
