import type { Cancellation, Clock, Milliseconds } from '../../core/clock/mod.ts';
import { chooseHolders, OriginLedger, OriginLookup } from '../../core/streamOrigins/mod.ts';
import type { OriginQuery, StreamKey, StreamOrigin } from '../../core/streamOrigins/mod.ts';
import type { Log } from '../../log/mod.ts';
import { ReconnectingLinks } from '../links/mod.ts';
import type { Dial } from '../ports/mod.ts';
import { decodePeerMessage, encodePeerMessage } from './_peerMessages.ts';
import type { OriginMessage } from './_peerMessages.ts';

/** Options of `OriginTask`. */
export type OriginTaskOptions = {
  /** Name of this entry among its peers: the address at which they reach it. */
  readonly self: string;
  /** Returns the addresses of the other live entries. */
  readonly peers: () => readonly string[];
  readonly clock: Clock;
  readonly dial: Dial;
  readonly log: Log;
  /** Called with the result of each `lookUp`: the version, if any entry knows it. */
  readonly onResult: (key: StreamKey, version: string | undefined) => void;
};

/** Interval of the checks of links and questions. */
const TICK_INTERVAL_MS: Milliseconds = 100;

/** Delay of origins, so that those of the same moment go out together; shorter than a stream needs to begin. */
const BATCH_DELAY_MS: Milliseconds = 10;

/** Time without a message after which an empty one shows that a link is alive. */
const KEEPALIVE_MS: Milliseconds = 500;

/** Time without an origin or a question after which a link is closed. */
const LINK_IDLE_MS: Milliseconds = 20_000;

type LinkUse = { usedAt: Milliseconds; sentAt: Milliseconds };

/** Tells other entries where streams begin, and asks them. */
export class OriginTask {
  readonly #options: OriginTaskOptions;

  readonly #ledger = new OriginLedger();

  readonly #lookup: OriginLookup;

  readonly #links: ReconnectingLinks;

  readonly #uses = new Map<string, LinkUse>();

  /** Origins that have not been sent yet, by holder. */
  readonly #unsent = new Map<string, StreamOrigin[]>();

  #cancelFlush: Cancellation | undefined;

  #cancelTick: Cancellation | undefined;

  constructor(options: OriginTaskOptions) {
    this.#options = options;
    this.#lookup = new OriginLookup(
      {
        holdersOf: (key) => this.#holdersOf(key),
        ask: (holder, query) => this.#ask(holder, query),
        onResult: options.onResult,
      },
      options.clock.now(),
    );
    this.#links = new ReconnectingLinks({
      clock: options.clock,
      dial: options.dial,
      onOpen: (address) => this.#resend(address),
      onMessage: (address, bytes) => this.#receiveAnswer(address, bytes),
      onLost: (address, reason) => options.log('peerLost', { address, reason }),
    });
  }

  /** Starts to check links and questions. */
  start(): void {
    this.#cancelTick = this.#options.clock.schedule(TICK_INTERVAL_MS, () => {
      this.#tick();
      this.start();
    });
  }

  /** Closes all links. */
  close(): void {
    this.#cancelTick?.();
    this.#cancelFlush?.();
    this.#links.closeAll();
  }

  /** Records where a stream begins, and soon tells the entries that keep it. */
  note(origin: StreamOrigin): void {
    const { clock } = this.#options;
    this.#ledger.note(origin, clock.now());
    this.#holdersOf(origin).forEach((holder) => {
      const unsent = this.#unsent.get(holder) ?? [];
      unsent.push(origin);
      this.#unsent.set(holder, unsent);
      this.#use(holder);
    });
    this.#cancelFlush ??= clock.schedule(BATCH_DELAY_MS, () => this.flush());
  }

  /** Sends the recorded origins at once. */
  flush(): void {
    this.#cancelFlush?.();
    this.#cancelFlush = undefined;
    this.#unsent.forEach((origins, holder) => this.#sendOrigins(holder, origins));
  }

  /** Returns the version at which a stream began, as far as this entry knows. */
  versionOf(key: StreamKey): string | undefined {
    return this.#ledger.find(key, this.#options.clock.now())?.version;
  }

  /** Asks the other entries where a stream began. */
  lookUp(key: StreamKey): void {
    this.#lookup.begin(key, this.#options.clock.now());
  }

  /** Handles the message of another entry. */
  handleMessage(message: OriginMessage, reply: (bytes: Uint8Array) => void): void {
    const { clock } = this.#options;
    const now = clock.now();
    if (message.kind === 'origins') {
      message.origins.forEach((origin) => this.#ledger.note(origin, now));
      reply(encodePeerMessage({ kind: 'origins-received' }));
      return;
    }
    const { number } = message.query;
    const version = this.#ledger.find(message.query, now)?.version;
    reply(encodePeerMessage({ kind: 'origin-answer', answer: { number, version } }));
  }

  #holdersOf(key: StreamKey): readonly string[] {
    const { self, peers } = this.#options;
    return chooseHolders(key, [self, ...peers()]).filter((holder) => holder !== self);
  }

  #use(address: string): void {
    const now = this.#options.clock.now();
    const use = this.#uses.get(address);
    if (use === undefined) this.#uses.set(address, { usedAt: now, sentAt: now });
    else use.usedAt = now;
    this.#links.open(address);
  }

  #send(address: string, bytes: Uint8Array): void {
    const use = this.#uses.get(address);
    if (use !== undefined) use.sentAt = this.#options.clock.now();
    this.#links.send(address, bytes);
  }

  /** Sends origins; they wait while the link is not open. */
  #sendOrigins(holder: string, origins: readonly StreamOrigin[]): void {
    if (!this.#links.isOpen(holder)) return;
    this.#unsent.delete(holder);
    this.#send(holder, encodePeerMessage({ kind: 'origins', origins }));
  }

  #ask(holder: string, query: OriginQuery): void {
    this.#use(holder);
    if (this.#links.isOpen(holder)) this.#sendQuery(holder, query);
  }

  #sendQuery(holder: string, query: OriginQuery): void {
    this.#send(holder, encodePeerMessage({ kind: 'origin-query', query }));
  }

  #resend(holder: string): void {
    this.#sendOrigins(holder, this.#unsent.get(holder) ?? []);
    this.#lookup.unansweredBy(holder).forEach((query) => this.#sendQuery(holder, query));
  }

  #tick(): void {
    const now = this.#options.clock.now();
    this.#lookup.tick(now);
    this.#links.tick();
    const live = new Set(this.#options.peers());
    this.#uses.forEach(({ usedAt, sentAt }, address) => {
      if (now - usedAt > LINK_IDLE_MS || !live.has(address)) this.#forget(address);
      else if (now - sentAt > KEEPALIVE_MS && this.#links.isOpen(address)) {
        this.#sendOrigins(address, this.#unsent.get(address) ?? []);
      }
    });
  }

  #forget(address: string): void {
    this.#uses.delete(address);
    this.#unsent.delete(address);
    this.#links.close(address);
  }

  #receiveAnswer(address: string, bytes: Uint8Array): void {
    const message = decodePeerMessage(bytes);
    if (message?.kind === 'origin-answer') {
      this.#lookup.applyAnswer(address, message.answer, this.#options.clock.now());
    } else if (message?.kind !== 'origins-received') {
      this.#options.log('messageUnreadable', { from: address, bytes: bytes.length });
    }
  }
}
