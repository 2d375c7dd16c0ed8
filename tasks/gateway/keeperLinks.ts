import type { Clock, Milliseconds } from '../../core/clock/mod.ts';
import type { KeeperState } from '../../core/dispatch/mod.ts';
import type { ModelName } from '../../core/serving/mod.ts';
import type { Log } from '../../log/mod.ts';
import { decodeKeeperMessage, encodeMessage } from '../keeper/mod.ts';
import type { EntryMessage } from '../keeper/mod.ts';
import { LiveLinks } from '../links/mod.ts';
import type { Dial } from '../ports/mod.ts';

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

type Hello = Extract<EntryMessage, { kind: 'hello' }>;

type Peer = { hello: Hello; state: KeeperState | undefined; fencingToken: number };

/** The links of one entry to the keepers of engines, by the keepers' addresses. */
export class KeeperLinks {
  readonly #options: KeeperLinksOptions;

  readonly #peers = new Map<string, Peer>();

  readonly #links: LiveLinks;

  constructor(options: KeeperLinksOptions) {
    this.#options = options;
    this.#links = new LiveLinks({
      clock: options.clock,
      dial: options.dial,
      opened: (address) => this.#greet(address),
      received: (address, bytes) => this.#receive(address, bytes),
      lost: (address, reason, silentMs) => this.#lose(address, reason, silentMs),
    });
  }

  /** Opens the link to a keeper, or tells the keeper of a change in what it looks after. */
  open(address: string, hello: Omit<Hello, 'kind' | 'fencingToken'>): void {
    const known = this.#peers.get(address);
    const fencingToken = known?.fencingToken ?? 0;
    const next: Hello = { kind: 'hello', ...hello, fencingToken };
    this.#peers.set(address, { hello: next, state: known?.state, fencingToken });
    const isSame = known?.hello.bornAt === next.bornAt && known.hello.engine === next.engine;
    if (known !== undefined && !isSame) this.#links.send(address, encodeMessage(next));
    this.#links.open(address);
  }

  /** Closes the link to a keeper. */
  close(address: string): void {
    this.#peers.delete(address);
    this.#links.close(address);
  }

  /** Closes all links. */
  closeAll(): void {
    this.#links.closeAll();
  }

  /** Asks a keeper for an adapter. */
  want(address: string, name: ModelName, version: number, waitMs: Milliseconds): void {
    this.#links.send(address, encodeMessage({ kind: 'want', name, version, waitMs }));
  }

  /** Tells a keeper how many requests use an adapter. */
  use(address: string, name: ModelName, count: number): void {
    this.#links.send(address, encodeMessage({ kind: 'use', name, count }));
  }

  /** Notices silent keepers and dials links anew; to be called several times a second. */
  tick(): void {
    this.#links.tick();
  }

  #greet(address: string): void {
    const peer = this.#peers.get(address);
    if (peer === undefined) return;
    const { hello, fencingToken } = peer;
    this.#links.send(address, encodeMessage({ ...hello, fencingToken }));
    this.#options.opened(address);
  }

  #receive(address: string, bytes: Uint8Array): void {
    const { log, clock, tell } = this.#options;
    const peer = this.#peers.get(address);
    if (peer === undefined) return;
    const message = decodeKeeperMessage(bytes);
    if (message === undefined) {
      log('messageUnreadable', { from: address, bytes: bytes.length });
      return;
    }
    if (peer.state === undefined) log('keeperReady', { address });
    peer.fencingToken = Math.max(peer.fencingToken, message.fencingToken);
    peer.state = {
      holdings:
        message.holdings === undefined
          ? (peer.state?.holdings ?? new Map<ModelName, number>())
          : new Map(message.holdings.map(({ name, version }) => [name, version])),
      running: message.running,
      queued: message.queued,
      freeablePlaces: message.freeablePlaces,
      awaited: message.awaited,
      receivedAt: clock.now(),
    };
    tell(address, peer.state);
  }

  #lose(address: string, reason: string, silentMs: Milliseconds): void {
    const peer = this.#peers.get(address);
    if (peer === undefined) return;
    this.#options.log('keeperLost', { address, reason, silentMs: Math.round(silentMs) });
    peer.state = undefined;
    this.#options.tell(address, undefined);
  }
}
