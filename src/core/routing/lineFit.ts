/** A straight line through observations, of which older ones count less. */
export interface LineFit {
  weight: number;
  meanX: number;
  meanY: number;
  /** Smoothed products of deviations. */
  varianceX: number;
  covariance: number;
  /** Used until enough is known. */
  readonly first: { readonly base: number; readonly slope: number };
}

/** Weight of one observation: about fifty of them make up the line. */
const SMOOTHING = 0.02;
/** Observations before the line is believed. */
const MIN_WEIGHT = 8;

/**
 * Makes a line from a first guess.
 *
 * @example
 * const fit = makeLineFit(100, 0.02);
 */
export const makeLineFit = (base: number, slope: number): LineFit => ({
  weight: 0, meanX: 0, meanY: 0, varianceX: 0, covariance: 0, first: { base, slope },
});

/**
 * Learns one observation.
 *
 * @example
 * learnLine(fit, promptTokens, firstEventMs);
 */
export const learnLine = (fit: LineFit, x: number, y: number): void => {
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
export const isLearnt = ({ weight }: LineFit): boolean => weight >= MIN_WEIGHT;

/** Slope of the line, never below zero: more work takes no less time. */
export const readSlope = (fit: LineFit): number => (
  !isLearnt(fit) || fit.varianceX === 0
    ? fit.first.slope
    : Math.max(0, fit.covariance / fit.varianceX)
);

/**
 * Reads the line at a point.
 *
 * @example
 * const expectedMs = readLine(fit, 3_700);
 */
export const readLine = (fit: LineFit, x: number): number => (
  !isLearnt(fit)
    ? fit.first.base + fit.first.slope * x
    : Math.max(0, fit.meanY + readSlope(fit) * (x - fit.meanX))
);
