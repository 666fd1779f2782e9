/** How often entries and the leader of control speak to one another, by the size of the site. */

/** Questions that one leader gets from all entries together, a second, where nothing is new. */
const WATCH_REQUESTS_PER_SECOND = 400;
/** Bounds on how long a question without news is held, in milliseconds. */
const MIN_WATCH_HOLD_MS = 200;
/** A lease lasts 1.8 s or more: one question may fail, and the leader be found anew, within it. */
const MAX_WATCH_HOLD_MS = 600;
/** Held back beyond two questions before an entry is taken for silent: a pause of either end. */
const ENTRY_TIMEOUT_SLACK_MS = 500;
/** Answers that news of backend servers may cost the leader, a second. */
const UPDATE_REPLIES_PER_SECOND = 1_000;
/** Bounds on how long such news wait for others, in milliseconds. */
const MIN_UPDATE_DELAY_MS = 50;
const MAX_UPDATE_DELAY_MS = 250;
/** Messages on the pace of running streams that the leader gets from all entries, a second. */
const PACE_MESSAGES_PER_SECOND = 200;
/** Bounds on how long news of a pace wait for a message that goes out anyway, in milliseconds. */
const MIN_PACE_DELAY_MS = 250;
const MAX_PACE_DELAY_MS = 1_000;
const MS_PER_SECOND = 1_000;

/** Computes how long each entry waits so that all together keep to a rate, within bounds. */
const computeIntervalMs = (
  entryCount: number,
  perSecond: number,
  minMs: number,
  maxMs: number,
): number => Math.min(maxMs, Math.max(minMs, (entryCount * MS_PER_SECOND) / perSecond));

/**
 * Computes how long the leader may hold the question of an entry that has no news, in milliseconds.
 *
 * Guards the leader of a large site: standing questions cost it the same beside fifty entries and
 * beside two hundred. Whatever changes is told at once, held or not.
 *
 * @example
 * const holdMs = computeHoldMs(191); // 477.5
 */
export const computeWatchHoldMs = (entryCount: number): number => (
  computeIntervalMs(entryCount, WATCH_REQUESTS_PER_SECOND, MIN_WATCH_HOLD_MS, MAX_WATCH_HOLD_MS));

/**
 * Computes the silence after which callers are not sent to an entry, in milliseconds: it missed two
 * of its questions.
 */
export const computeEntryTimeoutMs = (entryCount: number): number => (
  2 * computeWatchHoldMs(entryCount) + ENTRY_TIMEOUT_SLACK_MS
);

/**
 * Computes how long news of a backend server wait for others, in milliseconds: they answer the
 * questions of all entries at once.
 *
 * Guards the leader where a hundred servers start together, or go down and up by turns: told one by
 * one they were answered some hundred times over, by each entry. A document is told at once.
 */
export const computeUpdateDelayMs = (entryCount: number): number => (
  computeIntervalMs(entryCount, UPDATE_REPLIES_PER_SECOND, MIN_UPDATE_DELAY_MS, MAX_UPDATE_DELAY_MS));

/**
 * Computes how long an entry keeps news of the pace of its running streams, in milliseconds, for a
 * message that goes out anyway: the more entries tell of the same servers, the less each message
 * adds to what the leader knows of them.
 */
export const computePaceDelayMs = (entryCount: number): number => (
  computeIntervalMs(entryCount, PACE_MESSAGES_PER_SECOND, MIN_PACE_DELAY_MS, MAX_PACE_DELAY_MS));
