import { createHmac, timingSafeEqual } from 'node:crypto';
import type { Identity, Role } from './frames.ts';

/** What both ends of a link sign. */
export type Handshake = {
  readonly entry: Identity;
  readonly sidecar: Identity;
  readonly epoch: number;
  readonly entryNonce: string;
  readonly sidecarNonce: string;
};

/**
 * Computes one end's proof that it holds the link key.
 *
 * @param key The shared link key.
 * @param role The end that proves itself; the two ends' proofs differ.
 * @param handshake Both identities and both nonces.
 */
export function computeProof(key: string, role: Role, handshake: Handshake): string {
  const { entry, sidecar, epoch, entryNonce, sidecarNonce } = handshake;
  const signed = JSON.stringify([
    role,
    [entry.host, entry.incarnation],
    [sidecar.host, sidecar.incarnation],
    epoch,
    entryNonce,
    sidecarNonce,
  ]);
  return createHmac('sha256', key).update(signed).digest('base64url');
}

/** Compares two proofs in a time that does not depend on where they differ. */
export function proofsMatch(expected: string, received: string): boolean {
  const a = Buffer.from(expected);
  const b = Buffer.from(received);
  return a.length === b.length && timingSafeEqual(a, b);
}
