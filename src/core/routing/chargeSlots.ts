/** What was recently charged to one account, in time slots, newest first. */

/** Length of a slot, in milliseconds. */
export const SLOT_MS = 250;
/** Slots that are kept: 8 s, the time over which the use of an account is judged. */
export const SLOT_COUNT = 32;
const MS_PER_SECOND = 1_000;

/**
 * Computes how many units of the burst are used up, given what was charged in each slot: the most
 * that was charged from any slot on, less what the rate has refilled since.
 *
 * @param slots units per slot, newest first
 * @example
 * computeUsedBurst([0, 0, 90_000], 50_000); // 65_000: half a second has refilled 25_000
 */
export const computeUsedBurst = (slots: readonly number[], perSecond: number): number => {
  const refill = (perSecond * SLOT_MS) / MS_PER_SECOND;
  return slots.reduce(({ charged, most }, units, slot) => {
    const sum = charged + units;
    return { charged: sum, most: Math.max(most, sum - refill * slot) };
  }, { charged: 0, most: 0 }).most;
};

/** Rate and burst of a limit, in units. */
export interface SlotLimit {
  readonly perSecond: number;
  readonly burst: number;
}

/**
 * Whether two limits allow the same.
 *
 * @example
 * if (!isSameLimit(state.account, account)) changeLimit(state, account, computeCapacity);
 */
export const isSameLimit = (some: SlotLimit, other: SlotLimit): boolean => (
  some.perSecond === other.perSecond && some.burst === other.burst
);

/**
 * Adjusts what was charged under one limit, so that it uses up the same share of the burst of
 * another one, and the whole burst at most.
 *
 * @param slots units per slot, newest first
 * @example
 * // Half of the burst: 1_000 units of 2_000 become 2_000 of 4_000.
 * adjustCharges([1_000], { perSecond: 0, burst: 2_000 }, { perSecond: 0, burst: 4_000 });
 */
export const adjustCharges = (
  slots: readonly number[],
  from: SlotLimit,
  to: SlotLimit,
): readonly number[] => {
  const usedShare = computeUsedBurst(slots, from.perSecond) / Math.max(1, from.burst);
  return [Math.min(1, usedShare) * to.burst];
};
