import { LRUCache } from 'lru-cache';

/** Output lengths by target, tier and account. The least recently used keys are evicted. */
export type LengthModel = LRUCache<string, number>;

const MAX_KEYS = 20_000;
const DEFAULT_OUTPUT_TOKENS = 64;
/** Tracked quantile: most answers are shorter than the estimate. */
const QUANTILE = 0.7;
const STEP = 0.1;

/** Requests with the same key are expected to have similar output lengths. */
export interface LengthKey {
  readonly target: string;
  readonly tier: string;
  readonly account: string;
}

const formatKey = ({ target, tier, account }: LengthKey): string => `${target}\n${tier}\n${account}`;

/** Creates an empty model. */
export const makeLengthModel = (): LengthModel => new LRUCache({ max: MAX_KEYS });

/**
 * Estimates the output of a request in tokens, at most `maxTokens` unless that is 0.
 *
 * @example
 * estimateOutputTokens(lengths, { target: 'm', tier: 'door', account: 'a' }, 256);
 */
export const estimateOutputTokens = (
  lengths: LengthModel,
  key: LengthKey,
  maxTokens: number,
): number => {
  const known = lengths.get(formatKey(key)) ?? DEFAULT_OUTPUT_TOKENS;
  return Math.min(known, maxTokens > 0 ? maxTokens : known);
};

/**
 * Moves the estimate towards an observed length. The step up is larger than the step down, so that
 * the estimate converges to the tracked quantile.
 *
 * @example
 * updateOutputEstimate(lengths, key, 131);
 */
export const updateOutputEstimate = (
  lengths: LengthModel,
  key: LengthKey,
  tokens: number,
): void => {
  const formattedKey = formatKey(key);
  const old = lengths.get(formattedKey);
  if (old === undefined) {
    lengths.set(formattedKey, Math.max(1, tokens));
    return;
  }
  const direction = tokens > old ? QUANTILE : QUANTILE - 1;
  lengths.set(formattedKey, Math.max(1, old * (1 + STEP * direction)));
};
