import type { Clock, Milliseconds } from '../../core/clock/mod.ts';
import { runAll } from '../../core/collections/mod.ts';
import type { Connection, Dial } from '../ports/mod.ts';

/** Options of `ReconnectingLinks`. */
export type ReconnectingLinksOptions = {
  readonly clock: Clock;
  readonly dial: Dial;
  /** Called when a link opens; what it sends is the first message of the connection. */
  readonly onOpen: (address: string) => void;
  readonly onMessage: (address: string, bytes: Uint8Array) => void;
  /** Called when a link that has received a message closes or times out. */
  readonly onLost: (address: string, reason: 'closed' | 'silent', silentMs: Milliseconds) => void;
  /** Time without a message after which a link counts as lost; `Infinity` if the peer only answers. @default 1500 */
  readonly silenceMs?: Milliseconds;
  /**
   * Time from dialling to the next attempt while the link neither works nor has closed, which shows that the
   * peer may only be busy. @default 600
   */
  readonly redialDelayMs?: Milliseconds;
};

/** Time from dialling to the next attempt once the connection has closed. */
const CLOSED_REDIAL_DELAY_MS: Milliseconds = 600;

type Link = {
  readonly address: string;
  connection: Connection | undefined;
  isOpen: boolean;
  /** Whether the current connection has closed. */
  isClosed: boolean;
  /** Whether the current connection has received a message. */
  hasReceived: boolean;
  receivedAt: Milliseconds;
  dialedAt: Milliseconds;
  /** Number of the current connection; events of earlier ones are ignored. */
  epoch: number;
};

/**
 * Links to other processes that reconnect when they close or time out.
 *
 * The peer must send messages more often than `silenceMs`; nothing else shows that a connection
 * is alive.
 */
export class ReconnectingLinks {
  readonly #options: Required<ReconnectingLinksOptions>;

  readonly #links = new Map<string, Link>();

  constructor(options: ReconnectingLinksOptions) {
    this.#options = { silenceMs: 1500, redialDelayMs: CLOSED_REDIAL_DELAY_MS, ...options };
  }

  /** Addresses of all links, open or connecting. */
  get addresses(): readonly string[] {
    return [...this.#links.keys()];
  }

  /** Opens a link and keeps it open until `close`. */
  open(address: string): void {
    if (this.#links.has(address)) return;
    const now = this.#options.clock.now();
    const link: Link = {
      address,
      connection: undefined,
      isOpen: false,
      isClosed: false,
      hasReceived: false,
      receivedAt: now,
      dialedAt: now,
      epoch: 0,
    };
    this.#links.set(address, link);
    this.#dial(link);
  }

  /** Closes a link without reconnecting. */
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

  /** Whether a link is open, so that messages are sent and not dropped. */
  isOpen(address: string): boolean {
    return this.#links.get(address)?.isOpen === true;
  }

  /** Sends a message; drops it while the link is not open. */
  send(address: string, bytes: Uint8Array): void {
    const link = this.#links.get(address);
    if (link?.isOpen) link.connection?.send(bytes);
  }

  /** Detects silent links and reconnects. Call it several times a second. */
  tick(): void {
    const { clock, silenceMs, redialDelayMs } = this.#options;
    const now = clock.now();
    runAll([...this.#links.values()], (link) => {
      if (link.hasReceived && now - link.receivedAt > silenceMs) this.#handleLoss(link, 'silent');
      const works = link.hasReceived || (link.isOpen && silenceMs === Infinity);
      const delayMs = link.isClosed ? CLOSED_REDIAL_DELAY_MS : redialDelayMs;
      if (!works && now - link.dialedAt > delayMs) this.#dial(link);
    });
  }

  #dial(link: Link): void {
    const { clock, dial, onOpen, onMessage } = this.#options;
    link.epoch += 1;
    link.connection?.close();
    const { epoch, address } = link;
    link.isOpen = false;
    link.isClosed = false;
    link.dialedAt = clock.now();
    link.connection = dial(address, {
      opened: () => {
        if (link.epoch !== epoch) return;
        link.isOpen = true;
        onOpen(address);
      },
      received: (bytes) => {
        if (link.epoch !== epoch) return;
        link.hasReceived = true;
        link.receivedAt = clock.now();
        onMessage(address, bytes);
      },
      closed: () => {
        if (link.epoch !== epoch) return;
        link.isOpen = false;
        link.isClosed = true;
        if (link.hasReceived) this.#handleLoss(link, 'closed');
      },
    });
  }

  #handleLoss(link: Link, reason: 'closed' | 'silent'): void {
    link.hasReceived = false;
    this.#options.onLost(link.address, reason, this.#options.clock.now() - link.receivedAt);
  }
}
