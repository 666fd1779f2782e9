import prand from 'pure-rand';

/** A tier of the benchmark and the distribution of its requests; lengths are log-uniform. */
export interface TierShape {
  readonly name: string;
  /** Share of all requests. */
  readonly share: number;
  /** Shortest and longest prompt. */
  readonly promptTokens: readonly [number, number];
  /** Shortest and longest answer. */
  readonly outputTokens: readonly [number, number];
  readonly firstTokenMs: number;
  readonly totalMs: number;
  /** Whether prompts start with one of a few documents that several requests share. */
  readonly sharesPrefix: boolean;
}

/** One request of the workload. */
export interface Arrival {
  /** Milliseconds from the start of the run. */
  readonly atMs: number;
  readonly tier: TierShape;
  readonly account: string;
  readonly prompt: string;
  readonly outputTokens: number;
}

/** Kiosks: mostly short requests with tight latency targets. */
export const KIOSK_WORKLOAD: readonly TierShape[] = [
  {
    name: 'door', share: 0.2, promptTokens: [20, 100], outputTokens: [4, 16], firstTokenMs: 400, totalMs: 1_500, sharesPrefix: false,
  },
  {
    name: 'lookup', share: 0.3, promptTokens: [20, 200], outputTokens: [4, 24], firstTokenMs: 800, totalMs: 2_500, sharesPrefix: false,
  },
  {
    name: 'guide', share: 0.3, promptTokens: [150, 1_200], outputTokens: [16, 64], firstTokenMs: 2_000, totalMs: 6_000, sharesPrefix: true,
  },
  {
    name: 'history', share: 0.2, promptTokens: [400, 2_000], outputTokens: [32, 128], firstTokenMs: 5_000, totalMs: 15_000, sharesPrefix: true,
  },
];

/** Registry: a larger share of long histories, which are expensive to run again. */
export const REGISTRY_WORKLOAD: readonly TierShape[] = KIOSK_WORKLOAD.map((tier, position) => ({
  ...tier, share: [0.1, 0.25, 0.2, 0.45][position] ?? 0,
}));

/** Share of the requests of each client account: two are large and three are small. */
export const ACCOUNT_SHARES: Readonly<Record<string, number>> = {
  large1: 0.4, large2: 0.3, small1: 0.1, small2: 0.1, small3: 0.1,
};

const PREFIX_DOCUMENTS = 6;
const PREFIX_TOKENS = 300;
const CHARACTERS_PER_TOKEN = 4;

const pickByShare = <Item>(items: readonly (readonly [Item, number])[], draw: number): Item => {
  let remaining = draw;
  const found = items.find(([, share]) => {
    remaining -= share;
    return remaining <= 0;
  });
  if (found) return found[0];
  return (items.at(-1) as readonly [Item, number])[0];
};

const makeText = (seed: string, tokens: number): string => (
  `${seed} `.repeat(Math.ceil((tokens * CHARACTERS_PER_TOKEN) / (seed.length + 1)))
    .slice(0, tokens * CHARACTERS_PER_TOKEN)
);

/** Makes Poisson arrivals. Equal arguments give equal arrivals, so that policies are comparable. */
export const makeArrivals = (
  workload: readonly TierShape[],
  perSecond: number,
  seconds: number,
  seed: number,
): Arrival[] => {
  const generator = prand.xoroshiro128plus(seed);
  const draw = (): number => (
    prand.unsafeUniformIntDistribution(1, 1_000_000, generator) / 1_000_001);
  const drawLogUniform = ([low, high]: readonly [number, number]): number => (
    Math.round(low * (high / low) ** draw()));
  let atMs = 0;
  return Array.from({ length: Math.round(perSecond * seconds) }, (unused, position) => {
    atMs += (-Math.log(draw()) / perSecond) * 1_000;
    const tier = pickByShare(workload.map((item) => [item, item.share] as const), draw());
    const account = pickByShare(Object.entries(ACCOUNT_SHARES), draw());
    const document = Math.floor(draw() * PREFIX_DOCUMENTS);
    const prefix = tier.sharesPrefix ? makeText(`rules of ${account} ${document}`, PREFIX_TOKENS) : '';
    const ownTokens = Math.max(
      8,
      drawLogUniform(tier.promptTokens) - prefix.length / CHARACTERS_PER_TOKEN,
    );
    return {
      atMs,
      tier,
      account,
      prompt: `${prefix}${makeText(`question ${position} `, ownTokens)}`,
      outputTokens: drawLogUniform(tier.outputTokens),
    };
  });
};
