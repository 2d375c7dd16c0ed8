import { createHmac } from 'node:crypto';
import type { Milliseconds } from '../clock/mod.ts';
import type { Incarnation } from '../identity/mod.ts';
import { proofsMatch } from '../link/mod.ts';

/** The fields of an idempotency key. */
export type KeyParts = {
  /** The sidecar's host, by which entries route the key. */
  readonly host: string;
  readonly incarnation: Incarnation;
  /** Expiry time on the clock of the sidecar that minted the key. */
  readonly expiresAt: Milliseconds;
  readonly nonce: string;
};

/** First field of each key; identifies the format. */
const PREFIX = 'hk1';
const SEPARATOR = '~';
const FIELD_COUNT = 6;
const MAX_KEY_CHARACTERS = 512;

function sign(secret: string, tenant: string, body: string): string {
  return createHmac('sha256', secret).update(`${tenant}\n${body}`).digest('base64url');
}

/**
 * Formats and signs an idempotency key.
 *
 * @param parts The fields of the key.
 * @param secret The signing secret, known only to the incarnation that mints the key.
 * @param tenant The only tenant that may use the key. It is signed but not part of the text.
 */
export function formatKey(parts: KeyParts, secret: string, tenant: string): string {
  const fields = [PREFIX, parts.host, parts.incarnation, parts.expiresAt, parts.nonce];
  const body = fields.join(SEPARATOR);
  return `${body}${SEPARATOR}${sign(secret, tenant, body)}`;
}

/**
 * Parses an idempotency key without checking its signature.
 *
 * @returns The parts, or `undefined` when the text is not a key.
 */
export function parseKey(key: string): KeyParts | undefined {
  if (key.length > MAX_KEY_CHARACTERS) return undefined;
  const fields = key.split(SEPARATOR);
  if (fields.length !== FIELD_COUNT || fields[0] !== PREFIX) return undefined;
  const [, host, incarnation, expiresAt, nonce] = fields as [
    string,
    string,
    string,
    string,
    string,
  ];
  if (host === '' || incarnation === '' || nonce === '' || !/^\d+$/.test(expiresAt)) {
    return undefined;
  }
  return { host, incarnation, expiresAt: Number(expiresAt), nonce };
}

/** Returns whether a key was signed with the secret for a tenant. */
export function isKeySigned(key: string, secret: string, tenant: string): boolean {
  const bodyEnd = key.lastIndexOf(SEPARATOR);
  return proofsMatch(sign(secret, tenant, key.slice(0, bodyEnd)), key.slice(bodyEnd + 1));
}
