import type { Clock, Milliseconds } from '../../core/clock/mod.ts';
import type { Connection, Dial } from '../ports/mod.ts';

/** How to build `LiveLinks`. */
export type LiveLinksOptions = {
  readonly clock: Clock;
  readonly dial: Dial;
  /** Told when a link opens; what is sent now is the first message of the connection. */
  readonly opened: (address: string) => void;
  readonly received: (address: string, bytes: Uint8Array) => void;
  /** Told when a link from which something was heard has closed or fallen silent. */
  readonly lost: (address: string, reason: 'closed' | 'silent', silentMs: Milliseconds) => void;
  /** Time without a word after which the other end counts as silent. @default 1500 */
  readonly silenceMs?: Milliseconds;
};

/** Time after which a link that is not open, or silent, is dialled anew. */
const REDIAL_MS: Milliseconds = 600;

type Link = {
  readonly address: string;
  connection: Connection | undefined;
  isOpen: boolean;
  /** Whether something was heard on the connection in use. */
  isLive: boolean;
  heardAt: Milliseconds;
  dialledAt: Milliseconds;
  /** Distinguishes the connection in use from earlier ones. */
  epoch: number;
};

/**
 * Links to other processes that are dialled anew when they close or fall silent.
 *
 * The other end must say something more often than `silenceMs`; nothing else shows that a connection
 * is alive.
 */
export class LiveLinks {
  readonly #options: Required<LiveLinksOptions>;

  readonly #links = new Map<string, Link>();

  constructor(options: LiveLinksOptions) {
    this.#options = { silenceMs: 1500, ...options };
  }

  /** Addresses that are linked or being linked. */
  get addresses(): readonly string[] {
    return [...this.#links.keys()];
  }

  /** Opens a link and keeps it open. */
  open(address: string): void {
    if (this.#links.has(address)) return;
    const now = this.#options.clock.now();
    const link: Link = {
      address,
      connection: undefined,
      isOpen: false,
      isLive: false,
      heardAt: now,
      dialledAt: now,
      epoch: 0,
    };
    this.#links.set(address, link);
    this.#dial(link);
  }

  /** Closes a link for good. */
  close(address: string): void {
    const link = this.#links.get(address);
    this.#links.delete(address);
    if (link === undefined) return;
    link.epoch += 1;
    link.connection?.close();
  }

  /** Closes all links. */
  closeAll(): void {
    this.addresses.forEach((address) => this.close(address));
  }

  /** Sends a message; does nothing while the link is not open. */
  send(address: string, bytes: Uint8Array): void {
    const link = this.#links.get(address);
    if (link?.isOpen) link.connection?.send(bytes);
  }

  /** Notices silence and dials anew; to be called several times a second. */
  tick(): void {
    const { clock, silenceMs } = this.#options;
    const now = clock.now();
    for (const link of this.#links.values()) {
      if (link.isLive && now - link.heardAt > silenceMs) this.#lose(link, 'silent');
      if (!link.isLive && now - link.dialledAt > REDIAL_MS) this.#dial(link);
    }
  }

  #dial(link: Link): void {
    const { clock, dial, opened, received } = this.#options;
    link.epoch += 1;
    link.connection?.close();
    const { epoch, address } = link;
    link.isOpen = false;
    link.dialledAt = clock.now();
    link.connection = dial(address, {
      opened: () => {
        if (link.epoch !== epoch) return;
        link.isOpen = true;
        opened(address);
      },
      received: (bytes) => {
        if (link.epoch !== epoch) return;
        link.isLive = true;
        link.heardAt = clock.now();
        received(address, bytes);
      },
      closed: () => {
        if (link.epoch !== epoch) return;
        link.isOpen = false;
        if (link.isLive) this.#lose(link, 'closed');
      },
    });
  }

  #lose(link: Link, reason: 'closed' | 'silent'): void {
    link.isLive = false;
    this.#options.lost(link.address, reason, this.#options.clock.now() - link.heardAt);
  }
}
