import { createHash } from 'node:crypto';

/** Digest of a caller's key, by which its tenant is found; the key cannot be computed from it. */
export type KeyDigest = string;

/** Returns the digest of a key, so that no process has to keep or pass on the key itself. */
export function keyDigest(key: string): KeyDigest {
  return createHash('sha256').update(key).digest('base64url');
}
