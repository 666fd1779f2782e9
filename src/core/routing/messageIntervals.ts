/** Intervals of the messages between entries and the leader of control, by the size of the site. */

/** Watch requests that one leader receives from all entries per second when nothing changes. */
const WATCH_REQUESTS_PER_SECOND = 200;
/** Bounds on how long a watch request without updates is held, in milliseconds. */
const MIN_WATCH_HOLD_MS = 200;
/** A lease lasts at least 1.8 s: enough for one failed request and the search for the leader. */
const MAX_WATCH_HOLD_MS = 600;
/** Added to two held watch requests in an entry's timeout, for a pause of either process. */
const ENTRY_TIMEOUT_SLACK_MS = 500;
/** Added to two held watch requests in the time in which all entries reach a new leader, in ms. */
const SETTLE_SLACK_MS = 100;
/** Replies per second that the leader may have to send because of backend server updates. */
const UPDATE_REPLIES_PER_SECOND = 1_000;
/** Bounds on how long updates are delayed to be sent together, in milliseconds. */
const MIN_UPDATE_DELAY_MS = 50;
const MAX_UPDATE_DELAY_MS = 250;
/** Reports on the speeds of servers that the leader receives per second in total. */
const SPEED_REPORTS_PER_SECOND = 40;
/** Bounds on the interval of these reports of an entry, in milliseconds. */
const MIN_SPEED_REPORT_MS = 200;
const MAX_SPEED_REPORT_MS = 2_000;
/** Messages about the pace of running streams that the leader receives per second in total. */
const PACE_MESSAGES_PER_SECOND = 200;
/** Bounds on how long a pace update waits for a message that is due anyway, in milliseconds. */
const MIN_PACE_DELAY_MS = 250;
const MAX_PACE_DELAY_MS = 1_000;
const MS_PER_SECOND = 1_000;
/** Least number of entries whose placement messages go to other replicas than the leader. */
const MIN_HUB_ENTRIES = 40;

/**
 * Whether the placement messages of entries go to replicas that grant slots for the leader. On
 * sites with fewer entries the leader has the time to decide on all requests itself.
 */
export const needsDelegates = (entryCount: number): boolean => entryCount >= MIN_HUB_ENTRIES;

/** Computes the interval of each entry that keeps all of them at a total rate, within bounds. */
const computeIntervalMs = (
  entryCount: number,
  perSecond: number,
  minMs: number,
  maxMs: number,
): number => Math.min(maxMs, Math.max(minMs, (entryCount * MS_PER_SECOND) / perSecond));

/**
 * Computes how long the leader may hold a watch request of an entry without updates, in
 * milliseconds.
 *
 * This bounds the leader's load on large sites: held watch requests cost it the same with fifty
 * entries as with two hundred. A change is sent at once, even while a request is held.
 *
 * @example
 * const holdMs = computeWatchHoldMs(78); // 390
 */
export const computeWatchHoldMs = (entryCount: number): number => (
  computeIntervalMs(entryCount, WATCH_REQUESTS_PER_SECOND, MIN_WATCH_HOLD_MS, MAX_WATCH_HOLD_MS));

/**
 * Computes the time without watch requests after which an entry has timed out and callers are no
 * longer directed to it, in milliseconds: it has missed two of its requests.
 */
export const computeEntryTimeoutMs = (entryCount: number): number => (
  2 * computeWatchHoldMs(entryCount) + ENTRY_TIMEOUT_SLACK_MS
);

/**
 * Computes the time in which all entries reach a new leader, in milliseconds: two of their watch
 * requests.
 *
 * @example
 * const settleMs = computeSettleMs(78); // 880
 */
export const computeSettleMs = (entryCount: number): number => (
  2 * computeWatchHoldMs(entryCount) + SETTLE_SLACK_MS
);

/**
 * Computes how long updates of backend servers are delayed to be sent together, in milliseconds:
 * each one answers the watch requests of all entries at once.
 *
 * This bounds the leader's load when a hundred servers start together or flap. Sent one by one,
 * their updates would each cause a reply to every entry. A document is sent at once.
 */
export const computeUpdateDelayMs = (entryCount: number): number => (
  computeIntervalMs(
    entryCount,
    UPDATE_REPLIES_PER_SECOND,
    MIN_UPDATE_DELAY_MS,
    MAX_UPDATE_DELAY_MS,
  ));

/**
 * Computes how long an entry delays updates on the pace of its running streams, in milliseconds,
 * for a message that is due anyway: the more entries report on the same servers, the less
 * information each message adds for the leader.
 */
export const computePaceDelayMs = (entryCount: number): number => (
  computeIntervalMs(entryCount, PACE_MESSAGES_PER_SECOND, MIN_PACE_DELAY_MS, MAX_PACE_DELAY_MS));

/**
 * Computes the interval at which an entry reports the speeds that it observes at servers, in
 * milliseconds. Such a report names all servers that the entry uses, and speeds change slowly.
 *
 * @example
 * const intervalMs = computeSpeedReportMs(78); // 1_950
 */
export const computeSpeedReportMs = (entryCount: number): number => (
  computeIntervalMs(
    entryCount,
    SPEED_REPORTS_PER_SECOND,
    MIN_SPEED_REPORT_MS,
    MAX_SPEED_REPORT_MS,
  ));
