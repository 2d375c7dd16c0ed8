import { createHash } from 'node:crypto';

/** Returns the SHA-256 of a text in hexadecimal. */
export function sha256(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}
