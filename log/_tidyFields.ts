import type { LogFields } from './catalogue.ts';

/** Decimal places that a logged number keeps. */
const MAX_FRACTION_DIGITS = 3;

/** Removes fields that are `undefined` and rounds fractions to `MAX_FRACTION_DIGITS` decimal places. */
export function tidyFields(values: LogFields): LogFields {
  const kept = Object.entries(values).filter(([, value]) => value !== undefined);
  return Object.fromEntries(
    kept.map(([name, value]) => {
      const isFraction = typeof value === 'number' && !Number.isInteger(value);
      return [name, isFraction ? Number(value.toFixed(MAX_FRACTION_DIGITS)) : value];
    }),
  );
}
