import { createHmac, timingSafeEqual } from 'node:crypto';
import type { Identity, Role } from './frames.ts';

/** The handshake parameters that both sides of a link sign. */
export type Handshake = {
  readonly entry: Identity;
  readonly sidecar: Identity;
  readonly epoch: number;
  readonly entryNonce: string;
  readonly sidecarNonce: string;
};

/**
 * Computes the proof that one side of a link holds the link key.
 *
 * @param key The shared link key.
 * @param role The side that authenticates; including it prevents reflection of the peer's proof.
 * @param handshake The identities, the epoch and the nonces of both sides.
 * @returns The HMAC-SHA-256 in base64url.
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

/** Compares two proofs in constant time. */
export function proofsMatch(expected: string, received: string): boolean {
  const a = Buffer.from(expected);
  const b = Buffer.from(received);
  return a.length === b.length && timingSafeEqual(a, b);
}
