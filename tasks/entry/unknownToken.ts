import { notRun } from '../../core/outcome/mod.ts';

/** How a request ends whose token is no caller's. */
export const UNKNOWN_TOKEN = notRun(
  'unauthorized',
  'the bearer token is not known; use one from your operators',
);
