import { LRUCache } from 'lru-cache';

/** Output lengths by target, tier and account; the keys used longest ago are forgotten. */
export type LengthModel = LRUCache<string, number>;

const MAX_KEYS = 20_000;
const DEFAULT_OUTPUT_TOKENS = 64;
/** The quantile that is tracked: most answers are shorter than the estimate. */
const QUANTILE = 0.7;
const STEP = 0.1;

/** Whose outputs are alike. */
export interface LengthKey {
  readonly target: string;
  readonly tier: string;
  readonly account: string;
}

const formatKey = ({ target, tier, account }: LengthKey): string => `${target}\n${tier}\n${account}`;

/** Makes an empty model. */
export const makeLengthModel = (): LengthModel => new LRUCache({ max: MAX_KEYS });

/**
 * Estimates the output of a request in tokens, at most what the caller allows.
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
 * Moves the tracked quantile towards an observed length: up by a larger step than down.
 *
 * @example
 * learnOutputTokens(lengths, key, 131);
 */
export const learnOutputTokens = (lengths: LengthModel, key: LengthKey, tokens: number): void => {
  const name = formatKey(key);
  const old = lengths.get(name);
  if (old === undefined) {
    lengths.set(name, Math.max(1, tokens));
    return;
  }
  const direction = tokens > old ? QUANTILE : QUANTILE - 1;
  lengths.set(name, Math.max(1, old * (1 + STEP * direction)));
};
