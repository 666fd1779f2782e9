/**
 * Speed of each hardware type, estimated from measured request times. A new worker starts with the
 * estimates for its hardware type, as Sia bootstraps its throughput models (Jayaram
 * Subramanya et al., "Sia: Heterogeneity-aware, goodput-optimized ML-cluster scheduling", SOSP
 * 2023).
 */

/** Speed estimates for one hardware type. */
export interface HardwareSpeed {
  /** Milliseconds per prompt token that is not in the cache. */
  prefillMs: number;
  /** Milliseconds per output token, by batch bucket. */
  readonly decodeMs: Map<number, number>;
  samples: number;
}

/** Speeds by hardware type. */
export type SpeedTable = Map<string, HardwareSpeed>;

/** Times of one finished request, as measured by the entry that relayed it. */
export interface SpeedSample {
  readonly hardware: string;
  readonly batch: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly firstTokenMs: number;
  readonly totalMs: number;
}

const SMOOTHING = 0.1;
const DEFAULT_PREFILL_MS = 0.1;
const DEFAULT_DECODE_MS = 10;
const MAX_HARDWARE_TYPES = 64;
/** For shorter prompts, the network dominates the time to the first token. */
const MIN_PROMPT_TOKENS = 32;

const pickBucket = (batch: number): number => Math.ceil(Math.log2(Math.max(1, batch)));

const smooth = (old: number, sample: number): number => old + SMOOTHING * (sample - old);

const makeSpeed = (): HardwareSpeed => ({
  prefillMs: DEFAULT_PREFILL_MS, decodeMs: new Map(), samples: 0,
});

const readDecodeMs = (speed: HardwareSpeed, batch: number): number => {
  const bucket = pickBucket(batch);
  const exact = speed.decodeMs.get(bucket);
  if (exact !== undefined) return exact;
  const nearest = [...speed.decodeMs]
    .sort(([a], [b]) => Math.abs(a - bucket) - Math.abs(b - bucket))[0];
  return nearest?.[1] ?? DEFAULT_DECODE_MS;
};

/**
 * Estimates the time to the first token in milliseconds.
 *
 * @example
 * estimateFirstTokenMs(speeds, 'fast', 800);
 */
export const estimateFirstTokenMs = (
  speeds: SpeedTable,
  hardware: string,
  promptTokens: number,
): number => (speeds.get(hardware)?.prefillMs ?? DEFAULT_PREFILL_MS) * promptTokens;

/**
 * Estimates the time to the complete answer in milliseconds.
 *
 * @example
 * estimateTotalMs(speeds, 'fast', 4, 800, 120);
 */
export const estimateTotalMs = (
  speeds: SpeedTable,
  hardware: string,
  batch: number,
  promptTokens: number,
  outputTokens: number,
): number => {
  const decodeMs = readDecodeMs(speeds.get(hardware) ?? makeSpeed(), batch);
  return estimateFirstTokenMs(speeds, hardware, promptTokens) + decodeMs * outputTokens;
};

const findSpeed = (speeds: SpeedTable, hardware: string): HardwareSpeed | undefined => {
  const known = speeds.get(hardware);
  if (known || speeds.size >= MAX_HARDWARE_TYPES) return known;
  const speed = makeSpeed();
  speeds.set(hardware, speed);
  return speed;
};

/**
 * Updates the estimates from one finished request.
 *
 * @example
 * updateSpeed(speeds, sample);
 */
export const updateSpeed = (speeds: SpeedTable, sample: SpeedSample): void => {
  const speed = findSpeed(speeds, sample.hardware);
  if (!speed) return;
  const first = speed.samples === 0;
  speed.samples += 1;
  if (sample.promptTokens >= MIN_PROMPT_TOKENS) {
    const observed = sample.firstTokenMs / sample.promptTokens;
    speed.prefillMs = first ? observed : smooth(speed.prefillMs, observed);
  }
  if (sample.outputTokens < 2) return;
  const bucket = pickBucket(sample.batch);
  const observed = (sample.totalMs - sample.firstTokenMs) / (sample.outputTokens - 1);
  const old = speed.decodeMs.get(bucket);
  speed.decodeMs.set(bucket, old === undefined ? observed : smooth(old, observed));
};
