import type { CallerRequest } from '../../proxy/mod.ts';
import type { Milliseconds } from '../../core/clock/mod.ts';

/** Why the gateway generates a response itself. */
export type LocalResponse =
  /** No route matches the request. */
  | 'no-route'
  /** No tenant has the caller's key. */
  | 'unauthorized'
  /** The tenant has reached its limit; no backend server ran the request, and none will. */
  | 'limited'
  /** No backend server ran the request, and none will. */
  | 'refused'
  /** The request may have run, but no complete response arrived. */
  | 'unknown'
  /** The request may have run, and its deadline has passed. */
  | 'late';

const RESPONSES: Readonly<
  Record<LocalResponse, { readonly status: number; readonly text: string }>
> = {
  'no-route': { status: 404, text: 'Not Found' },
  unauthorized: { status: 401, text: 'Unauthorized' },
  limited: { status: 429, text: 'Too Many Requests' },
  refused: { status: 503, text: 'Service Unavailable' },
  unknown: { status: 502, text: 'Bad Gateway' },
  late: { status: 504, text: 'Gateway Timeout' },
};

const MILLISECONDS_IN_SECOND = 1000;

/**
 * Responds to a request with an empty body and the status for `kind`.
 *
 * @param retryAfterMs Delay for the `Retry-After` header, which is sent in seconds with two decimals; only
 *   for requests that have not run.
 */
export function respondLocally(
  caller: Pick<CallerRequest, 'response'>,
  kind: LocalResponse,
  retryAfterMs?: Milliseconds,
): void {
  const retryHeaders =
    retryAfterMs === undefined
      ? []
      : ['Retry-After', (retryAfterMs / MILLISECONDS_IN_SECOND).toFixed(2)];
  const { status, text } = RESPONSES[kind];
  caller.response.begin({
    status,
    statusText: text,
    headers: ['Content-Length', '0', ...retryHeaders],
  });
  caller.response.end();
}
