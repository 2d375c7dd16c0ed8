import { createHash } from 'node:crypto';
import type { Trait } from './traits.ts';

/** What makes two requests the same, whatever their ids and deadlines. */
export type RequestIdentity = {
  readonly method: string;
  /** Host that the caller addresses. */
  readonly authority: string;
  /** Path and query. */
  readonly path: string;
  /** Credentials by which the caller is known, if it sends any. */
  readonly credentials?: string | undefined;
  /** Name of the caller's tenant, if the deployment has tenants. */
  readonly tenant?: string | undefined;
  readonly body: Uint8Array;
};

/** Characters of a digest that are kept: 132 bits, so that requests made up on purpose do not collide. */
const DIGEST_LENGTH = 22;

/** Returns the trait that only requests with the same identity have, as `request:DIGEST`. */
export function requestTrait(identity: RequestIdentity): Trait {
  const { method, authority, path, credentials = '', tenant, body } = identity;
  const caller = tenant === undefined ? [credentials] : [credentials, tenant];
  // JSON delimits the fields, so that none can continue the one before it.
  const head = JSON.stringify([method, authority.toLowerCase(), path, ...caller]);
  const digest = createHash('sha256').update(head).update(body).digest('base64url');
  return `request:${digest.slice(0, DIGEST_LENGTH)}`;
}
