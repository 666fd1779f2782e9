/** Token bucket of the requests that this process may send to a backend server. */

/** What may be sent to one backend server. */
export interface RateAllowance {
  /** Requests per second; Infinity without a limit. */
  readonly perSecond: number;
  /** Requests that could be sent at `refilledAt`, with a fraction. */
  readonly tokens: number;
  /** Monotonic milliseconds. */
  readonly refilledAt: number;
}

/** Allowance of a server that has no limit. */
export const UNLIMITED: RateAllowance = { perSecond: Infinity, tokens: 0, refilledAt: 0 };

const MS_PER_SECOND = 1_000;
/** Time for which unused requests are saved up, in milliseconds. */
const SAVED_MS = 1_000;

/*
 * Computes the tokens at a time. A token that is not used in time is lost, even if it is the only
 * one: many entries with small shares would otherwise all have one after an idle time, and send as
 * many requests at once.
 */
const refill = ({ perSecond, tokens, refilledAt }: RateAllowance, now: number): number => {
  const maxTokens = (perSecond * SAVED_MS) / MS_PER_SECOND;
  const refilled = tokens + ((now - refilledAt) * perSecond) / MS_PER_SECOND;
  if (maxTokens >= 1) return Math.min(maxTokens, refilled);
  if (refilled < 1) return refilled;
  const sinceLatest = (refilled - 1) % 1;
  return sinceLatest <= maxTokens ? 1 + sinceLatest : sinceLatest;
};

/**
 * Changes the rate of an allowance, and keeps what was saved up.
 *
 * @param firstTokens what may be sent at once if there was no limit before
 * @example
 * worker.allowance = changeRate(worker.allowance, 1.4, 0, clock.now());
 */
export const changeRate = (
  allowance: RateAllowance,
  perSecond: number,
  firstTokens: number,
  now: number,
): RateAllowance => {
  if (perSecond === allowance.perSecond) return allowance;
  if (perSecond === Infinity) return UNLIMITED;
  const tokens = allowance.perSecond === Infinity ? firstTokens : refill(allowance, now);
  return { perSecond, tokens, refilledAt: now };
};

/** Computes the milliseconds until a request may be sent; 0 if one may be sent now. */
export const computeAllowanceWaitMs = (allowance: RateAllowance, now: number): number => {
  const { perSecond } = allowance;
  if (perSecond === Infinity) return 0;
  return (Math.max(0, 1 - refill(allowance, now)) * MS_PER_SECOND) / perSecond;
};

/** Whether a request may be sent now. */
export const hasAllowance = (allowance: RateAllowance, now: number): boolean => (
  allowance.perSecond === Infinity || refill(allowance, now) >= 1);

/** Counts a request that is sent. */
export const takeAllowance = (allowance: RateAllowance, now: number): RateAllowance => (
  allowance.perSecond === Infinity
    ? allowance
    : { ...allowance, tokens: refill(allowance, now) - 1, refilledAt: now }
);
