import { hashText } from '../placement/mod.ts';

/** Relays of one tenant, so that one may be lost. */
const RELAYS = 2;

/** Returns the hosts that relay demand for a tenant, the same at every entry. */
function relaysOf(tenant: string, hosts: readonly string[]): readonly string[] {
  const seed = hashText(`limit ${tenant}`);
  let best: { readonly host: string; readonly score: number }[] = [];
  for (const host of hosts) {
    const score = hashText(host, seed);
    const last = best[RELAYS - 1];
    if (last === undefined || score > last.score) {
      best = [...best, { host, score }].sort((a, b) => b.score - a.score).slice(0, RELAYS);
    }
  }
  return best.map(({ host }) => host);
}

/**
 * Chooses by rendezvous hashing which sidecars relay the demand of which tenants.
 *
 * @param tenants Tenants with a limit.
 * @param hosts Listed sidecars.
 * @returns The tenants that each chosen host relays.
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
