import type { FailedReason, NotRunReason, Outcome } from '../core/outcome/mod.ts';

const NOT_RUN_STATUS: Readonly<Record<NotRunReason, number>> = {
  'bad-request': 400,
  unauthorized: 401,
  forbidden: 403,
  'not-found': 404,
  'too-large': 413,
  limit: 429,
  overloaded: 503,
  deadline: 503,
  'load-failed': 503,
  leaving: 503,
  unreachable: 503,
  starting: 503,
  revoked: 409,
  cancelled: 503,
};

const FAILED_STATUS: Readonly<Record<FailedReason, number>> = {
  'backend-error': 502,
  'wrong-adapter': 502,
  'damaged-answer': 502,
  cancelled: 504,
  'key-reused': 409,
};

/** Returns the HTTP status code for an outcome. */
export function outcomeStatus(outcome: Outcome): number {
  switch (outcome.kind) {
    case 'done':
      return 200;
    case 'not-run':
      return NOT_RUN_STATUS[outcome.reason];
    case 'failed':
      return FAILED_STATUS[outcome.reason];
    default:
      return 504;
  }
}

/** Wait before a caller looks up an unknown outcome again, in milliseconds. */
const UNKNOWN_RETRY_AFTER_MS = 1000;

function retryAfterMs(outcome: Outcome): number | undefined {
  if (outcome.kind === 'unknown') return UNKNOWN_RETRY_AFTER_MS;
  return outcome.kind === 'not-run' ? outcome.retryAfterMs : undefined;
}

/** Returns the response headers for an outcome. */
export function outcomeHeaders(outcome: Outcome): Readonly<Record<string, string>> {
  const headers = { 'Hyssopspread-Outcome': outcome.kind };
  const waitMs = retryAfterMs(outcome);
  if (waitMs === undefined) return headers;
  return { ...headers, 'Retry-After': String(Math.ceil(waitMs / 1000)) };
}

/** Returns the JSON error body for an outcome; `error` is empty if the request is done. */
export function outcomeError(outcome: Outcome): {
  readonly error: Readonly<Record<string, unknown>>;
} {
  if (outcome.kind === 'done') return { error: {} };
  const { kind, reason, detail } = outcome;
  return { error: { type: kind, code: reason, message: detail, outcome: kind } };
}
