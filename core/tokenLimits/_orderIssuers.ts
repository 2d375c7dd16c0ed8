import { rendezvousOrder } from '../placement/mod.ts';

/** Capacity, relative to the largest, from which on an entry is preferred. */
const MIN_CAPACITY_SHARE = 0.5;

/**
 * Orders the entries that may issue the tokens of a tenant. Those on small hosts come last, since all others
 * wait for the answers of the first one.
 *
 * @param capacityOf Returns the capacity of an entry; 0 if it is unknown, which counts as enough.
 */
export function orderIssuers(
  tenant: string,
  names: readonly string[],
  capacityOf: (name: string) => number,
): readonly string[] {
  const order = rendezvousOrder(tenant, names);
  const least = Math.max(...names.map(capacityOf)) * MIN_CAPACITY_SHARE;
  const isPreferred = (name: string): boolean =>
    capacityOf(name) === 0 || capacityOf(name) >= least;
  return [...order.filter(isPreferred), ...order.filter((name) => !isPreferred(name))];
}
