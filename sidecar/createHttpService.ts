import { request } from 'undici';
import type { Milliseconds } from '../core/clock/mod.ts';
import { createHttpAgent } from '../http/mod.ts';
import type { PlainService } from '../tasks/ports/mod.ts';
import { isConnectError } from './createHttpEngine.ts';

/** The largest reply, in bytes; it leaves room for the other fields of a link frame. */
const MAX_REPLY_BYTES = 1024 * 1024;

/** Options of `createHttpService`. */
export type HttpServiceOptions = {
  /** URL that calls are sent to by POST. */
  readonly url: string;
  /** Timeout for the service's response. @default 30000 */
  readonly timeoutMs?: Milliseconds;
};

/**
 * Creates the HTTP client of a plain service.
 *
 * @param options The service's URL and timeout.
 */
export function createHttpService(options: HttpServiceOptions): PlainService {
  const { url, timeoutMs = 30_000 } = options;
  const agent = createHttpAgent({ maxResponseBytes: MAX_REPLY_BYTES });
  return {
    call: async (body) => {
      try {
        const response = await request(url, {
          dispatcher: agent,
          method: 'POST',
          headers: { 'content-type': 'application/json' },
          headersTimeout: timeoutMs,
          bodyTimeout: timeoutMs,
          body,
        });
        return {
          kind: 'answered',
          status: response.statusCode,
          body: await response.body.text(),
        };
      } catch (error) {
        const detail = String(error);
        return isConnectError(error) ? { kind: 'unreached', detail } : { kind: 'lost', detail };
      }
    },
  };
}
