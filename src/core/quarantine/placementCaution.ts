/** How a request that asks for a slot is to be treated, for what is known against it. */

/**
 * - `none`: as any other.
 * - `alone`: one copy at a time, on a server without another suspect.
 * - `held`: not yet, as a server has just ended under it.
 * - `refused`: never.
 */
export type CautionKind = 'none' | 'alone' | 'held' | 'refused';

/** What the placing of requests is told of one. */
export interface PlacementCaution {
  readonly kind: CautionKind;
  /** What is left of a refusal, in milliseconds. */
  readonly refusedMs: number;
}

/** Looks a request up by its fingerprint. */
export type CautionFinder = (fingerprint: string) => PlacementCaution;

/** Nothing is known against the request. */
export const NO_CAUTION: PlacementCaution = { kind: 'none', refusedMs: 0 };
