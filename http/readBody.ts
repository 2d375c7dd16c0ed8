import type { IncomingMessage } from 'node:http';

/** The result of reading a request's body. */
export type BodyResult =
  | { readonly kind: 'body'; readonly text: string }
  | { readonly kind: 'too-large'; readonly limitBytes: number }
  | { readonly kind: 'not-utf8' }
  | { readonly kind: 'broken-off' };

const utf8 = new TextDecoder('utf-8', { fatal: true });

function decode(chunks: readonly Buffer[]): BodyResult {
  try {
    return { kind: 'body', text: utf8.decode(Buffer.concat(chunks)) };
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
 */
export async function readBody(request: IncomingMessage, limitBytes: number): Promise<BodyResult> {
  const chunks: Buffer[] = [];
  let size = 0;
  try {
    for await (const chunk of request.iterator({ destroyOnReturn: false })) {
      size += (chunk as Buffer).length;
      if (size <= limitBytes) chunks.push(chunk as Buffer);
      else chunks.length = 0;
      if (size > DISCARD_LIMIT_FACTOR * limitBytes) break;
    }
  } catch {
    return { kind: 'broken-off' };
  }
  return size > limitBytes ? { kind: 'too-large', limitBytes } : decode(chunks);
}
