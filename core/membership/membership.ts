import type { Role } from '../link/mod.ts';

/** What the platform's list says of a host. */
export type ListedHost = {
  readonly host: string;
  readonly role: Role;
  /** IP number and port of the process's link address, `ip:port`. */
  readonly address: string;
  readonly availabilityZone: string;
  readonly state: 'live' | 'leaving';
};

/** A change that the owner of a `Membership` must act on. */
export type MembershipChange =
  | { readonly kind: 'joined'; readonly member: ListedHost }
  | { readonly kind: 'moved'; readonly member: ListedHost }
  | { readonly kind: 'left'; readonly host: string };

/**
 * Joins the platform's late list of hosts with direct evidence.
 *
 * A host that is listed as leaving, or has said so itself, gets no new work even when one of the
 * two sources lags behind the other.
 */
export class Membership {
  readonly #members = new Map<string, ListedHost>();

  /** The incarnation that announced its leaving, by host. */
  readonly #announced = new Map<string, string>();

  /** All listed hosts. */
  get members(): readonly ListedHost[] {
    return [...this.#members.values()];
  }

  /** Returns a listed host. */
  find(host: string): ListedHost | undefined {
    return this.#members.get(host);
  }

  /** Takes a new list and returns what it changes. */
  applyList(list: readonly ListedHost[]): readonly MembershipChange[] {
    const changes: MembershipChange[] = [];
    const listed = new Set(list.map((member) => member.host));
    for (const host of [...this.#members.keys()]) {
      if (!listed.has(host)) {
        this.#members.delete(host);
        this.#announced.delete(host);
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

  /** Notes that one incarnation of a host says that it leaves. */
  announceLeaving(host: string, incarnation: string): void {
    this.#announced.set(host, incarnation);
  }

  /** Tells whether a host's given incarnation may get new work. */
  mayTakeWork(host: string, incarnation: string): boolean {
    const member = this.#members.get(host);
    if (member === undefined || member.state === 'leaving') return false;
    return this.#announced.get(host) !== incarnation;
  }
}
