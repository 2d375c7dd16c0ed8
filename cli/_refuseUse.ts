import type { BaseContext } from 'clipanion';

/** The exit code of a wrong command line. */
export const WRONG_USE = 2;

/** Says what is wrong with a command line and returns its exit code. */
export function refuseUse(context: BaseContext, text: string): number {
  context.stderr.write(`${text}\n`);
  return WRONG_USE;
}
