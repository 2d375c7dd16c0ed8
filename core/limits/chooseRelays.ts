import { hashText } from '../placement/mod.ts';

/** Number of relays for each tenant, one of which may fail. */
const RELAYS_PER_TENANT = 2;

/** Returns the relays of a tenant; every process with the same hosts computes the same ones. */
function relaysOf(tenant: string, hosts: readonly string[]): readonly string[] {
  const seed = hashText(`limit ${tenant}`);
  let best: { readonly host: string; readonly score: number }[] = [];
  for (const host of hosts) {
    const score = hashText(host, seed);
    const last = best[RELAYS_PER_TENANT - 1];
    if (last === undefined || score > last.score) {
      best = [...best, { host, score }]
        .sort((a, b) => b.score - a.score)
        .slice(0, RELAYS_PER_TENANT);
    }
  }
  return best.map(({ host }) => host);
}

/**
 * Chooses the sidecars that sum each tenant's demand and report the total to all entries, by
 * rendezvous hashing.
 *
 * @param tenants Tenants with a limit.
 * @param hosts Hosts of the listed sidecars.
 * @returns The tenants of each relay, by host.
 */
export function chooseRelays(
  tenants: readonly string[],
  hosts: readonly string[],
): ReadonlyMap<string, readonly string[]> {
  const relayed = new Map<string, string[]>();
  for (const tenant of tenants) {
    for (const host of relaysOf(tenant, hosts)) {
      relayed.set(host, [...(relayed.get(host) ?? []), tenant]);
    }
  }
  return relayed;
}
