import type { IncomingMessage } from 'node:http';
import type { CallerLimiter } from './callerLimiter.ts';
import { RequestBody } from './requestBody.ts';

/** The result of reading a request's body. */
export type BodyResult =
  | { readonly kind: 'body'; readonly text: string }
  | { readonly kind: 'too-large'; readonly limitBytes: number }
  | { readonly kind: 'not-utf8' }
  | { readonly kind: 'refused' }
  | { readonly kind: 'broken-off' };

const utf8 = new TextDecoder('utf-8', { fatal: true });

function decode(body: Buffer): BodyResult {
  try {
    return { kind: 'body', text: utf8.decode(body) };
  } catch {
    return { kind: 'not-utf8' };
  }
}

/** Multiple of the size limit up to which the rest of a too large body is read and discarded. */
const DISCARD_LIMIT_FACTOR = 8;

/**
 * Reads a request's body as UTF-8 text.
 *
 * The rest of a body over the limit is read and discarded up to a bound, because a client that is
 * still sending does not see the response if the connection closes.
 *
 * @param request The request.
 * @param limitBytes The largest body that is kept in memory.
 * @param limiter Counts the body, and may have it refused. @default none
 */
export function readBody(
  request: IncomingMessage,
  limitBytes: number,
  limiter?: CallerLimiter,
): Promise<BodyResult> {
  return new Promise((resolve) => {
    const body = new RequestBody();
    let size = 0;
    const settle = (result: BodyResult): void => {
      body.clear();
      request.removeAllListeners('data');
      request.resume();
      resolve(result);
    };
    const reading = limiter?.read(request, () => settle({ kind: 'refused' }));
    request.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size <= limitBytes) body.append(chunk);
      else body.clear();
      if (size > DISCARD_LIMIT_FACTOR * limitBytes) settle({ kind: 'too-large', limitBytes });
      else reading?.hold(body.heldBytes);
    });
    request.once('end', () => {
      reading?.complete();
      settle(size > limitBytes ? { kind: 'too-large', limitBytes } : decode(body.take()));
    });
    request.once('error', () => settle({ kind: 'broken-off' }));
    request.once('close', () => settle({ kind: 'broken-off' }));
  });
}
