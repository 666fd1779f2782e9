/** A linear regression in which older samples have exponentially less weight. */
export interface LinearFit {
  weight: number;
  meanX: number;
  meanY: number;
  /** Smoothed variance and covariance. */
  varianceX: number;
  covariance: number;
  /** Used while there are too few samples. */
  readonly initial: { readonly base: number; readonly slope: number };
}

/** Weight of one sample: the fit is dominated by about the last fifty. */
const SMOOTHING = 0.02;
/** Samples needed before the fit is used. */
const MIN_SAMPLES = 8;

/**
 * Makes a fit from an initial estimate.
 *
 * @example
 * const fit = makeLinearFit(100, 0.02);
 */
export const makeLinearFit = (base: number, slope: number): LinearFit => ({
  weight: 0, meanX: 0, meanY: 0, varianceX: 0, covariance: 0, initial: { base, slope },
});

/**
 * Adds a sample.
 *
 * @example
 * addSample(fit, promptTokens, firstEventMs);
 */
export const addSample = (fit: LinearFit, x: number, y: number): void => {
  fit.weight += 1;
  const weight = Math.max(SMOOTHING, 1 / fit.weight);
  const dx = x - fit.meanX;
  const dy = y - fit.meanY;
  fit.meanX += weight * dx;
  fit.meanY += weight * dy;
  fit.varianceX = (1 - weight) * (fit.varianceX + weight * dx * dx);
  fit.covariance = (1 - weight) * (fit.covariance + weight * dx * dy);
};

/** Whether there are enough samples for the fit to be used. */
export const hasEnoughSamples = ({ weight }: LinearFit): boolean => weight >= MIN_SAMPLES;

/** Slope of the fit, never negative: more work does not take less time. */
export const estimateSlope = (fit: LinearFit): number => (
  !hasEnoughSamples(fit) || fit.varianceX === 0
    ? fit.initial.slope
    : Math.max(0, fit.covariance / fit.varianceX)
);

/**
 * Evaluates the fit at a point.
 *
 * @example
 * const expectedMs = estimateAt(fit, 3_700);
 */
export const estimateAt = (fit: LinearFit, x: number): number => (
  !hasEnoughSamples(fit)
    ? fit.initial.base + fit.initial.slope * x
    : Math.max(0, fit.meanY + estimateSlope(fit) * (x - fit.meanX))
);
