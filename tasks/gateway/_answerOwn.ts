import type { CallerRequest } from '../../carriage/mod.ts';
import type { Milliseconds } from '../../core/clock/mod.ts';

const STATUS_TEXT: Readonly<Record<number, string>> = {
  404: 'Not Found',
  502: 'Bad Gateway',
  503: 'Service Unavailable',
  504: 'Gateway Timeout',
};

const MILLISECONDS_IN_SECOND = 1000;

/**
 * Answers a request without a backend server's answer.
 *
 * @param retryAfterMs When the caller may come back; only for requests that have not run.
 */
export function answerOwn(
  caller: CallerRequest,
  status: number,
  retryAfterMs?: Milliseconds,
): void {
  const retry =
    retryAfterMs === undefined
      ? []
      : ['Retry-After', (retryAfterMs / MILLISECONDS_IN_SECOND).toFixed(2)];
  caller.answer.begin({
    status,
    statusText: STATUS_TEXT[status] ?? '',
    headers: ['Content-Length', '0', ...retry],
    isFramed: true,
  });
  caller.answer.end();
}
