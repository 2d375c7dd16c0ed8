import { notRun } from '../../core/outcome/mod.ts';

/** The outcome of a request whose bearer token belongs to no caller. */
export const UNKNOWN_TOKEN = notRun(
  'unauthorized',
  'the bearer token is missing or unknown; use a token issued by the operators',
);
