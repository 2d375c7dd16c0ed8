import type { Clock, Milliseconds } from '../../core/clock/mod.ts';
import type { KeeperReport } from '../../core/dispatch/mod.ts';
import type { ModelName } from '../../core/serving/mod.ts';
import type { WorkSummary } from '../../core/serverRoom/mod.ts';
import type { FactCopy } from '../../core/factCopies/mod.ts';
import type { OriginAnswer } from '../../core/streamOrigins/mod.ts';
import type { Log } from '../../log/mod.ts';
import { dispatch } from '../_handlers.ts';
import type { Handlers } from '../_handlers.ts';
import { decodeKeeperMessage, encodeMessage } from '../keeper/mod.ts';
import type { EntryMessage, KeeperMessage } from '../keeper/mod.ts';
import { ReconnectingLinks } from '../links/mod.ts';
import type { FactCopyMessage } from '../_factMessages.ts';
import type { OriginQueryMessage, StreamOriginsMessage } from '../_originMessages.ts';
import type { Dial } from '../ports/mod.ts';

/** What keepers keep for the entries, and the question for it. */
export type KeptMessage = StreamOriginsMessage | OriginQueryMessage | FactCopyMessage;

/** Options of `KeeperLinks`. */
export type KeeperLinksOptions = {
  readonly clock: Clock;
  readonly dial: Dial;
  readonly log: Log;
  /** Called with each report received, and with `undefined` when a keeper is lost. */
  readonly onReport: (address: string, report: KeeperReport | undefined) => void;
  /** Called with what an engine has taken on over all entries. @default ignored */
  readonly onRoom?: (address: string, room: RoomReport) => void;
  /** Called when a link opens, so that the adapters in use can be reported to the keeper. */
  readonly onOpen: (address: string) => void;
  /** Called with the answer of a keeper where a stream began. */
  readonly onOriginAnswer: (address: string, answer: OriginAnswer) => void;
  /** Called with facts that a keeper has kept. */
  readonly onFacts: (facts: FactCopy) => void;
};

/** What an engine has taken on over all entries, as its keeper reports it. */
export type RoomReport = Extract<KeeperMessage, { kind: 'room' }>;

type Hello = Extract<EntryMessage, { kind: 'hello' }>;

type KnownKeeper = { hello: Hello; report: KeeperReport | undefined; fencingToken: number };

/** The links of one entry to the engines' keepers, by keeper address. */
export class KeeperLinks {
  readonly #options: KeeperLinksOptions;

  readonly #keepers = new Map<string, KnownKeeper>();

  readonly #links: ReconnectingLinks;

  constructor(options: KeeperLinksOptions) {
    this.#options = options;
    this.#links = new ReconnectingLinks({
      clock: options.clock,
      dial: options.dial,
      onOpen: (address) => this.#sendHello(address),
      onMessage: (address, bytes) => this.#receive(address, bytes),
      onLost: (address, reason, silentMs) => this.#handleLoss(address, reason, silentMs),
    });
  }

  /** Opens the link to a keeper, or sends the keeper a change of its engine or engine settings. */
  open(address: string, hello: Omit<Hello, 'kind' | 'fencingToken'>): void {
    const previous = this.#keepers.get(address);
    const fencingToken = previous?.fencingToken ?? 0;
    const next: Hello = { kind: 'hello', ...hello, fencingToken };
    this.#keepers.set(address, { hello: next, report: previous?.report, fencingToken });
    const isSame = previous?.hello.bornAt === next.bornAt && previous.hello.engine === next.engine;
    if (previous !== undefined && !isSame) this.#links.send(address, encodeMessage(next));
    this.#links.open(address);
  }

  /** Closes the link to a keeper. */
  close(address: string): void {
    this.#keepers.delete(address);
    this.#links.close(address);
  }

  /** Closes all links. */
  closeAll(): void {
    this.#links.closeAll();
  }

  /** Asks a keeper to load an adapter. */
  requestAdapter(address: string, name: ModelName, version: number, waitMs: Milliseconds): void {
    this.#links.send(address, encodeMessage({ kind: 'want', name, version, waitMs }));
  }

  /** Reports how many of this entry's requests use an adapter. */
  reportUse(address: string, name: ModelName, count: number): void {
    this.#links.send(address, encodeMessage({ kind: 'use', name, count }));
  }

  /** Reports what this entry has sent to an engine and is not done. */
  reportWork(address: string, work: WorkSummary): void {
    this.#links.send(address, encodeMessage({ kind: 'work', ...work }));
  }

  /** Whether a link is open, so that messages are sent and not dropped. */
  isOpen(address: string): boolean {
    return this.#links.isOpen(address);
  }

  /** Sends a keeper something to keep for the entries, or asks it for that. */
  sendToKeep(address: string, message: KeptMessage): void {
    this.#links.send(address, encodeMessage(message));
  }

  /** Detects silent keepers and reconnects. Call it several times a second. */
  tick(): void {
    this.#links.tick();
  }

  #sendHello(address: string): void {
    const keeper = this.#keepers.get(address);
    if (keeper === undefined) return;
    const { hello, fencingToken } = keeper;
    this.#links.send(address, encodeMessage({ ...hello, fencingToken }));
    this.#options.onOpen(address);
  }

  #receive(address: string, bytes: Uint8Array): void {
    const { log } = this.#options;
    const keeper = this.#keepers.get(address);
    if (keeper === undefined) return;
    const message = decodeKeeperMessage(bytes);
    if (message === undefined) {
      log('messageUnreadable', { from: address, bytes: bytes.length });
      return;
    }
    const handlers: Handlers<KeeperMessage, void> = {
      state: (state) => this.#applyState(address, keeper, state),
      room: (room) => this.#options.onRoom?.(address, room),
      'origin-answer': ({ answer }) => this.#options.onOriginAnswer(address, answer),
      facts: ({ facts }) => this.#options.onFacts(facts),
    };
    dispatch(handlers, message);
  }

  #applyState(
    address: string,
    keeper: KnownKeeper,
    message: Extract<KeeperMessage, { kind: 'state' }>,
  ): void {
    const { log, clock, onReport } = this.#options;
    if (keeper.report === undefined) log('keeperReady', { address });
    keeper.fencingToken = Math.max(keeper.fencingToken, message.fencingToken);
    keeper.report = {
      holdings:
        message.holdings === undefined
          ? (keeper.report?.holdings ?? new Map<ModelName, number>())
          : new Map(message.holdings.map(({ name, version }) => [name, version])),
      running: message.running,
      queued: message.queued,
      freeablePlaces: message.freeablePlaces,
      awaited: message.awaited,
      receivedAt: clock.now(),
    };
    onReport(address, keeper.report);
  }

  #handleLoss(address: string, reason: string, silentMs: Milliseconds): void {
    const keeper = this.#keepers.get(address);
    // A keeper whose engine does not respond reports nothing, though it sends what it keeps.
    if (keeper?.report === undefined) return;
    this.#options.log('keeperLost', { address, reason, silentMs: Math.round(silentMs) });
    keeper.report = undefined;
    this.#options.onReport(address, undefined);
  }
}
