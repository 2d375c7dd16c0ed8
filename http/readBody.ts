import type { IncomingMessage } from 'node:http';

/** The outcome of reading a body. */
export type BodyReading =
  | { readonly kind: 'body'; readonly text: string }
  | { readonly kind: 'too-large'; readonly limitBytes: number }
  | { readonly kind: 'not-utf8' }
  | { readonly kind: 'broken-off' };

const utf8 = new TextDecoder('utf-8', { fatal: true });

function decode(chunks: readonly Buffer[]): BodyReading {
  try {
    return { kind: 'body', text: utf8.decode(Buffer.concat(chunks)) };
  } catch {
    return { kind: 'not-utf8' };
  }
}

/** How much of a body that is too large is read and dropped, as a multiple of the limit. */
const MAX_DISCARDED_LIMITS = 8;

/**
 * Reads a request's body as UTF-8 text.
 *
 * @param request The request.
 * A body over the limit is read on and dropped for a while, since a caller that still sends does
 * not see the answer when the connection closes under it.
 *
 * @param limitBytes The largest body that is kept in memory.
 */
export async function readBody(request: IncomingMessage, limitBytes: number): Promise<BodyReading> {
  const chunks: Buffer[] = [];
  let size = 0;
  try {
    for await (const chunk of request.iterator({ destroyOnReturn: false })) {
      size += (chunk as Buffer).length;
      if (size <= limitBytes) chunks.push(chunk as Buffer);
      else chunks.length = 0;
      if (size > MAX_DISCARDED_LIMITS * limitBytes) break;
    }
  } catch {
    return { kind: 'broken-off' };
  }
  return size > limitBytes ? { kind: 'too-large', limitBytes } : decode(chunks);
}
