import type { BaseContext } from 'clipanion';

/** Exit code for an invalid command line. */
export const USAGE_EXIT_CODE = 2;

/** Prints a usage error to standard error and returns the exit code. */
export function reportUsageError(context: BaseContext, text: string): number {
  context.stderr.write(`${text}\n`);
  return USAGE_EXIT_CODE;
}
