import type { IncomingMessage } from 'node:http';
import { sha256 } from '../core/set/mod.ts';
import type { OperatorScope, PublishedSet } from '../core/set/mod.ts';

/** Whether a request is allowed, and the reason if it is not. */
export type Authorization =
  | { readonly kind: 'allowed' }
  | { readonly kind: 'refused'; readonly status: 401 | 403; readonly detail: string };

const BEARER_PATTERN = /^Bearer ([\x21-\x7e]{1,512})$/;

const LOOPBACK_PATTERN = /^(127\.|::1$|::ffff:127\.)/;

function refused(status: 401 | 403, detail: string): Authorization {
  return { kind: 'refused', status, detail };
}

/**
 * Decides whether a request may use the administration API.
 *
 * While the set declares no operators, only loopback clients may, so that a new deployment can be
 * inspected.
 *
 * @param request The request.
 * @param scope The scope that the request needs.
 * @param set The set in force.
 */
export function authorize(
  request: IncomingMessage,
  scope: OperatorScope,
  set: PublishedSet | undefined,
): Authorization {
  const operators = set?.operatorsByToken ?? new Map<string, never>();
  if (operators.size === 0) {
    const isLoopback = LOOPBACK_PATTERN.test(request.socket.remoteAddress ?? '');
    const remedy = 'declare an [operator NAME] in the set and send its token';
    return isLoopback
      ? { kind: 'allowed' }
      : refused(401, `only loopback clients are allowed while the set has no operators; ${remedy}`);
  }
  const token = BEARER_PATTERN.exec(request.headers.authorization ?? '')?.[1];
  const operator = token === undefined ? undefined : operators.get(sha256(token));
  if (operator === undefined) {
    return refused(401, "the operator's token is missing or unknown; send it as a bearer token");
  }
  if (operator.scopes.includes(scope)) return { kind: 'allowed' };
  return refused(403, `operator ${operator.name} lacks the scope "${scope}"; add it in the set`);
}
