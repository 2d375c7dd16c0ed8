import type { LinkTask } from './linkTask.ts';

/** An entry's links by host, and those of earlier hosts that still carry requests. */
export class LinkTable {
  readonly #current = new Map<string, LinkTask>();

  readonly #retired = new Set<LinkTask>();

  /** The current links. */
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

  /** Sends nothing new to a host; its link stays open while `isUsed` says so. */
  retire(host: string, isUsed: (link: LinkTask) => boolean): void {
    const link = this.#current.get(host);
    if (link === undefined) return;
    this.#current.delete(host);
    if (isUsed(link)) this.#retired.add(link);
    else link.stop();
  }

  /** Closes a link that was retired once its last request has ended. */
  release(link: LinkTask, isUsed: (link: LinkTask) => boolean): void {
    if (!this.#retired.has(link) || isUsed(link)) return;
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
