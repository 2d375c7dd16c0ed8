import type { LinkTask } from './linkTask.ts';

/** An entry's links by host, and links to removed hosts that still carry requests. */
export class LinkTable {
  readonly #current = new Map<string, LinkTask>();

  readonly #retired = new Set<LinkTask>();

  /** Links to the listed hosts. */
  get current(): readonly LinkTask[] {
    return [...this.#current.values()];
  }

  /** Returns the current link to a host. */
  get(host: string): LinkTask | undefined {
    return this.#current.get(host);
  }

  /** Adds the link to a host. */
  set(host: string, link: LinkTask): void {
    this.#current.set(host, link);
  }

  /** Removes a host; its link stays open until its last request ends. */
  retire(host: string, hasOpenRequests: (link: LinkTask) => boolean): void {
    const link = this.#current.get(host);
    if (link === undefined) return;
    this.#current.delete(host);
    if (hasOpenRequests(link)) this.#retired.add(link);
    else link.stop();
  }

  /** Closes a retired link if it has no open requests. */
  release(link: LinkTask, hasOpenRequests: (link: LinkTask) => boolean): void {
    if (!this.#retired.has(link) || hasOpenRequests(link)) return;
    this.#retired.delete(link);
    link.stop();
  }

  /** Closes all links. */
  stop(): void {
    [...this.#current.values(), ...this.#retired].forEach((link) => link.stop());
    this.#current.clear();
    this.#retired.clear();
  }
}
