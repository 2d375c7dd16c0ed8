import type { BackendRequest } from '../../proxy/mod.ts';
import type { Milliseconds } from '../../core/clock/mod.ts';
import type { ServerView } from '../../core/dispatch/mod.ts';
import { priorityOf } from '../../core/tenants/mod.ts';
import { encodeRequestHeaders } from '../../platform/mod.ts';
import { tenantOf } from './_openRequest.ts';
import type { OpenRequest } from './_openRequest.ts';

/** Least urgent priority that engines accept. */
const LOWEST_PRIORITY = 9;

/**
 * Returns what is sent to a server for a request.
 *
 * @param minVersion Oldest version of the adapter that may serve the request; 0 for any.
 */
export function outboundRequest(
  request: OpenRequest,
  view: ServerView,
  minVersion: number,
  now: Milliseconds,
): BackendRequest {
  const { head, caller, route, service, eventBuffer, deadlineAt } = request;
  const lastEventId = eventBuffer?.lastEventId;
  const tenant = tenantOf(request);
  const headers = encodeRequestHeaders(head, {
    deadlineMs: deadlineAt - now,
    serverId: view.server.id,
    ...(minVersion > 0 && { version: minVersion }),
    ...(lastEventId !== undefined && { lastEventId }),
    ...(service.engine !== undefined && {
      priority: Math.min(LOWEST_PRIORITY, priorityOf(route, tenant)),
    }),
    ...(request.identity.kind !== 'unchecked' && {
      identity: tenant === undefined ? {} : { tenant: tenant.name },
    }),
  });
  return {
    method: caller.method,
    path: caller.path,
    headers,
    body: caller.body,
    needsRecentConnection: route.repeatability === 'once',
  };
}
