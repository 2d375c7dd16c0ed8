import type { IncomingMessage } from 'node:http';
import { sha256 } from '../core/set/mod.ts';
import type { OperatorScope, PublishedSet } from '../core/set/mod.ts';

/** Whether a request may go on, and if not why. */
export type Authorization =
  | { readonly kind: 'allowed' }
  | { readonly kind: 'refused'; readonly status: 401 | 403; readonly detail: string };

const BEARER = /^Bearer ([\x21-\x7e]{1,512})$/;

const LOOPBACK = /^(127\.|::1$|::ffff:127\.)/;

function refused(status: 401 | 403, detail: string): Authorization {
  return { kind: 'refused', status, detail };
}

/**
 * Decides whether a request may use the administration API.
 *
 * While the set declares no operator, only loopback may, so that a new deployment can be looked at.
 *
 * @param request The request.
 * @param scope What the request needs.
 * @param set The set in force.
 */
export function authorize(
  request: IncomingMessage,
  scope: OperatorScope,
  set: PublishedSet | undefined,
): Authorization {
  const operators = set?.operatorsByToken ?? new Map<string, never>();
  if (operators.size === 0) {
    const isLoopback = LOOPBACK.test(request.socket.remoteAddress ?? '');
    const remedy = 'declare [operator NAME] in the set and use its token';
    return isLoopback
      ? { kind: 'allowed' }
      : refused(401, `only loopback may ask while the set has no operator; ${remedy}`);
  }
  const token = BEARER.exec(request.headers.authorization ?? '')?.[1];
  const operator = token === undefined ? undefined : operators.get(sha256(token));
  if (operator === undefined) {
    return refused(401, "the operator's token is missing or not known; send it as a bearer token");
  }
  if (operator.scopes.includes(scope)) return { kind: 'allowed' };
  return refused(403, `operator ${operator.name} lacks the scope "${scope}"; add it in the set`);
}
