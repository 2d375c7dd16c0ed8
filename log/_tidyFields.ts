import type { LogFields } from './catalogue.ts';

/** Digits behind the point that a logged number keeps. */
const LOGGED_DIGITS = 3;

/** Leaves out fields without a value, and digits of numbers that nobody reads. */
export function tidyFields(values: LogFields): LogFields {
  const kept = Object.entries(values).filter(([, value]) => value !== undefined);
  return Object.fromEntries(
    kept.map(([name, value]) => {
      const isFraction = typeof value === 'number' && !Number.isInteger(value);
      return [name, isFraction ? Number(value.toFixed(LOGGED_DIGITS)) : value];
    }),
  );
}
