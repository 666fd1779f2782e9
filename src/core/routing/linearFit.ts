/** A straight line through observations, of which older ones count less. */
export interface LinearFit {
  weight: number;
  meanX: number;
  meanY: number;
  /** Smoothed products of deviations. */
  varianceX: number;
  covariance: number;
  /** Used until enough is known. */
  readonly initial: { readonly base: number; readonly slope: number };
}

/** Weight of one observation: about fifty of them make up the line. */
const SMOOTHING = 0.02;
/** Observations before the line is believed. */
const MIN_SAMPLES = 8;

/**
 * Makes a line from a first guess.
 *
 * @example
 * const fit = makeLineFit(100, 0.02);
 */
export const makeLinearFit = (base: number, slope: number): LinearFit => ({
  weight: 0, meanX: 0, meanY: 0, varianceX: 0, covariance: 0, initial: { base, slope },
});

/**
 * Learns one observation.
 *
 * @example
 * learnLine(fit, promptTokens, firstEventMs);
 */
export const addSample = (fit: LinearFit, x: number, y: number): void => {
  fit.weight += 1;
  const part = Math.max(SMOOTHING, 1 / fit.weight);
  const dx = x - fit.meanX;
  const dy = y - fit.meanY;
  fit.meanX += part * dx;
  fit.meanY += part * dy;
  fit.varianceX = (1 - part) * (fit.varianceX + part * dx * dx);
  fit.covariance = (1 - part) * (fit.covariance + part * dx * dy);
};

/** Whether enough was observed for the line to be believed. */
export const hasEnoughSamples = ({ weight }: LinearFit): boolean => weight >= MIN_SAMPLES;

/** Slope of the line, never below zero: more work takes no less time. */
export const estimateSlope = (fit: LinearFit): number => (
  !hasEnoughSamples(fit) || fit.varianceX === 0
    ? fit.initial.slope
    : Math.max(0, fit.covariance / fit.varianceX)
);

/**
 * Reads the line at a point.
 *
 * @example
 * const expectedMs = readLine(fit, 3_700);
 */
export const estimateAt = (fit: LinearFit, x: number): number => (
  !hasEnoughSamples(fit)
    ? fit.initial.base + fit.initial.slope * x
    : Math.max(0, fit.meanY + estimateSlope(fit) * (x - fit.meanX))
);
