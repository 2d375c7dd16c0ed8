/** A measured value `y` for `x` items or operations. */
export type Point = { readonly x: number; readonly y: number };

/** A straight line fitted to measured points. */
export type Slope = {
  readonly name: string;
  /** The unit of `y`. */
  readonly unit: string;
  /** What `x` counts. */
  readonly per: string;
  readonly points: readonly Point[];
  readonly slope: number;
  readonly intercept: number;
  /** Root mean square error of the fit, as a share of the mean of `y`. */
  readonly residual: number;
};

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

/**
 * Fits a line to points by least squares.
 *
 * @param label The name and units of the line.
 * @param points At least two points with different `x`.
 * @returns The line with its points and residual.
 * @example
 * ```ts
 * const label = { name: 'link', unit: 'byte', per: 'link' };
 * fitLine(label, [{ x: 1, y: 3 }, { x: 2, y: 5 }]).slope; // 2
 * ```
 */
export function fitLine(
  label: Pick<Slope, 'name' | 'unit' | 'per'>,
  points: readonly Point[],
): Slope {
  const meanX = mean(points.map(({ x }) => x));
  const meanY = mean(points.map(({ y }) => y));
  const covariance = mean(points.map(({ x, y }) => (x - meanX) * (y - meanY)));
  const variance = mean(points.map(({ x }) => (x - meanX) ** 2));
  const slope = covariance / variance;
  const intercept = meanY - slope * meanX;
  const squares = points.map(({ x, y }) => (y - intercept - slope * x) ** 2);
  const residual = meanY === 0 ? 0 : Math.sqrt(mean(squares)) / Math.abs(meanY);
  return { ...label, points, slope, intercept, residual };
}
