import type { Route, Tenant } from '../serving/mod.ts';

/** Returns the priority of a request; 0 is the highest. A tenant's priority takes precedence over the route's. */
export function priorityOf(
  route: Pick<Route, 'priority'>,
  tenant: Pick<Tenant, 'priority'> | undefined,
): number {
  return tenant?.priority ?? route.priority;
}
