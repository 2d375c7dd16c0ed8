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

/**
 * Reads a request's body as UTF-8 text.
 *
 * @param request The request.
 * @param limitBytes The largest body that is kept in memory.
 */
export async function readBody(request: IncomingMessage, limitBytes: number): Promise<BodyReading> {
  const chunks: Buffer[] = [];
  let size = 0;
  try {
    for await (const chunk of request) {
      size += (chunk as Buffer).length;
      if (size > limitBytes) return { kind: 'too-large', limitBytes };
      chunks.push(chunk as Buffer);
    }
  } catch {
    return { kind: 'broken-off' };
  }
  return decode(chunks);
}
