import type { Clock, Milliseconds } from '../../core/clock/mod.ts';
import type { KeeperState } from '../../core/dispatch/mod.ts';
import type { ModelName } from '../../core/serving/mod.ts';
import type { Log } from '../../log/mod.ts';
import { decodeMessage, encodeMessage } from '../keeper/mod.ts';
import type { EntryMessage, KeeperMessage } from '../keeper/mod.ts';
import type { Connection, Dial } from '../ports/mod.ts';

/** How to build `KeeperLinks`. */
export type KeeperLinksOptions = {
  readonly clock: Clock;
  readonly dial: Dial;
  readonly log: Log;
  /** Told of each state, and of `undefined` when a keeper falls silent. */
  readonly tell: (address: string, state: KeeperState | undefined) => void;
  /** Told when a link opens, so that the keeper hears of adapters in use. */
  readonly opened: (address: string) => void;
};

/** Time without a word after which a keeper counts as silent; it says something twice a second. */
const SILENCE_MS: Milliseconds = 1500;

/** Time after which a link that is not open, or silent, is dialled anew. */
const REDIAL_MS: Milliseconds = 600;

type Hello = Extract<EntryMessage, { kind: 'hello' }>;

type Link = {
  readonly address: string;
  hello: Hello;
  connection: Connection | undefined;
  isOpen: boolean;
  state: KeeperState | undefined;
  heardAt: Milliseconds;
  dialledAt: Milliseconds;
  fencingToken: number;
  /** Distinguishes the connection in use from earlier ones. */
  epoch: number;
};

/** The links of one entry to the keepers of engines, by the keepers' addresses. */
export class KeeperLinks {
  readonly #options: KeeperLinksOptions;

  readonly #links = new Map<string, Link>();

  constructor(options: KeeperLinksOptions) {
    this.#options = options;
  }

  /** Opens the link to a keeper, or tells the keeper of a change in what it looks after. */
  open(address: string, hello: Omit<Hello, 'kind' | 'fencingToken'>): void {
    const known = this.#links.get(address);
    const next: Hello = { kind: 'hello', ...hello, fencingToken: known?.fencingToken ?? 0 };
    if (known !== undefined) {
      const isSame = known.hello.bornAt === next.bornAt && known.hello.engine === next.engine;
      known.hello = next;
      if (known.isOpen && !isSame) known.connection?.send(encodeMessage(next));
      return;
    }
    const now = this.#options.clock.now();
    const link: Link = {
      address,
      hello: next,
      connection: undefined,
      isOpen: false,
      state: undefined,
      heardAt: now,
      dialledAt: now,
      fencingToken: 0,
      epoch: 0,
    };
    this.#links.set(address, link);
    this.#dial(link);
  }

  /** Closes the link to a keeper. */
  close(address: string): void {
    const link = this.#links.get(address);
    this.#links.delete(address);
    link?.connection?.close();
  }

  /** Closes all links. */
  closeAll(): void {
    [...this.#links.keys()].forEach((address) => this.close(address));
  }

  /** Asks a keeper for an adapter. */
  want(address: string, name: ModelName, version: number, waitMs: Milliseconds): void {
    this.#send(address, { kind: 'want', name, version, waitMs });
  }

  /** Tells a keeper how many requests use an adapter. */
  use(address: string, name: ModelName, count: number): void {
    this.#send(address, { kind: 'use', name, count });
  }

  /** Notices silent keepers and dials links anew; to be called several times a second. */
  tick(): void {
    const now = this.#options.clock.now();
    for (const link of this.#links.values()) {
      if (link.state !== undefined && now - link.heardAt > SILENCE_MS) this.#lose(link, 'silent');
      const isWaiting = !link.isOpen || link.state === undefined;
      if (isWaiting && now - link.dialledAt > REDIAL_MS) this.#dial(link);
    }
  }

  #send(address: string, message: EntryMessage): void {
    const link = this.#links.get(address);
    if (link?.isOpen) link.connection?.send(encodeMessage(message));
  }

  #dial(link: Link): void {
    const { clock, dial } = this.#options;
    link.connection?.close();
    link.epoch += 1;
    const { epoch } = link;
    link.isOpen = false;
    link.dialledAt = clock.now();
    link.connection = dial(link.address, {
      opened: () => {
        if (link.epoch !== epoch) return;
        link.isOpen = true;
        link.connection?.send(encodeMessage({ ...link.hello, fencingToken: link.fencingToken }));
        this.#options.opened(link.address);
      },
      received: (bytes) => {
        if (link.epoch === epoch) this.#receive(link, bytes);
      },
      closed: () => {
        if (link.epoch !== epoch) return;
        link.isOpen = false;
        if (link.state !== undefined) this.#lose(link, 'closed');
      },
    });
  }

  #receive(link: Link, bytes: Uint8Array): void {
    const message = decodeMessage(bytes) as KeeperMessage;
    if (message.kind !== 'state') return;
    const now = this.#options.clock.now();
    const holdings =
      message.holdings === undefined
        ? (link.state?.holdings ?? new Map<ModelName, number>())
        : new Map(message.holdings.map(({ name, version }) => [name, version]));
    if (link.state === undefined) this.#options.log('keeperReady', { address: link.address });
    link.heardAt = now;
    link.fencingToken = Math.max(link.fencingToken, message.fencingToken);
    link.state = {
      holdings,
      running: message.running,
      queued: message.queued,
      freeablePlaces: message.freeablePlaces,
      awaited: message.awaited,
      receivedAt: now,
    };
    this.#options.tell(link.address, link.state);
  }

  #lose(link: Link, reason: string): void {
    const { clock, log, tell } = this.#options;
    const silentMs = Math.round(clock.now() - link.heardAt);
    log('keeperLost', { address: link.address, reason, silentMs });
    link.state = undefined;
    tell(link.address, undefined);
  }
}
