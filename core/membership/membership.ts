import type { Role } from '../link/mod.ts';

/** A host in the platform's list. */
export type ListedHost = {
  readonly host: string;
  readonly role: Role;
  /** IP address and port of the process's link address, `ip:port`. */
  readonly address: string;
  readonly availabilityZone: string;
  readonly state: 'live' | 'leaving';
};

/** A change that the owner of a `Membership` must act on. */
export type MembershipChange =
  | { readonly kind: 'joined'; readonly member: ListedHost }
  /** The address of a host changed. */
  | { readonly kind: 'moved'; readonly member: ListedHost }
  | { readonly kind: 'left'; readonly host: string };

/**
 * Combines the platform's list of hosts, which lags behind, with the hosts' own announcements.
 *
 * A host gets no new work once it is listed as leaving or has announced that it is leaving,
 * whichever comes first.
 */
export class Membership {
  readonly #members = new Map<string, ListedHost>();

  /** The incarnation that announced that it is leaving, by host. */
  readonly #leavingIncarnations = new Map<string, string>();

  /** All listed hosts. */
  get members(): readonly ListedHost[] {
    return [...this.#members.values()];
  }

  /** Returns a listed host. */
  find(host: string): ListedHost | undefined {
    return this.#members.get(host);
  }

  /** Applies a new list and returns the changes. */
  applyList(list: readonly ListedHost[]): readonly MembershipChange[] {
    const changes: MembershipChange[] = [];
    const listed = new Set(list.map((member) => member.host));
    for (const host of [...this.#members.keys()]) {
      if (!listed.has(host)) {
        this.#members.delete(host);
        this.#leavingIncarnations.delete(host);
        changes.push({ kind: 'left', host });
      }
    }
    for (const member of list) {
      const known = this.#members.get(member.host);
      this.#members.set(member.host, member);
      if (known === undefined) changes.push({ kind: 'joined', member });
      else if (known.address !== member.address) changes.push({ kind: 'moved', member });
    }
    return changes;
  }

  /** Records that an incarnation of a host announced that it is leaving. */
  announceLeaving(host: string, incarnation: string): void {
    this.#leavingIncarnations.set(host, incarnation);
  }

  /** Returns whether an incarnation of a host may get new work. */
  mayTakeWork(host: string, incarnation: string): boolean {
    const member = this.#members.get(host);
    if (member === undefined || member.state === 'leaving') return false;
    return this.#leavingIncarnations.get(host) !== incarnation;
  }
}
