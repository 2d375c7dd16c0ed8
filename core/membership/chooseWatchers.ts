import { rendezvousOrder } from '../placement/mod.ts';
import type { ListedHost } from './membership.ts';

/** Number of entries in an availability zone that watch the configuration service. */
export const WATCHERS_PER_ZONE = 2;

/**
 * Chooses the entries of an availability zone that watch the configuration service.
 *
 * @param members The listed hosts.
 * @param availabilityZone The zone of the entries.
 * @returns The chosen hosts. Every process with the same list computes the same ones.
 */
export function chooseWatchers(
  members: readonly ListedHost[],
  availabilityZone: string,
): readonly string[] {
  const entries = members.filter(
    (member) =>
      member.role === 'entry' &&
      member.state === 'live' &&
      member.availabilityZone === availabilityZone,
  );
  const hosts = entries.map(({ host }) => host);
  return rendezvousOrder(`watch ${availabilityZone}`, hosts).slice(0, WATCHERS_PER_ZONE);
}

/**
 * Returns whether an entry watches the configuration service. An entry that is not listed as live
 * always watches it.
 *
 * @param members The listed hosts.
 * @param self The entry.
 */
export function isWatcher(
  members: readonly ListedHost[],
  self: { readonly host: string; readonly availabilityZone: string },
): boolean {
  const listed = members.some(({ host, state }) => host === self.host && state === 'live');
  return !listed || chooseWatchers(members, self.availabilityZone).includes(self.host);
}
