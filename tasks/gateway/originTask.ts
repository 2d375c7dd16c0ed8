import type { Cancellation, Clock, Milliseconds } from '../../core/clock/mod.ts';
import {
  agreedVersion,
  chooseAsked,
  chooseOriginHolders,
  OriginLedger,
  OriginLookup,
} from '../../core/streamOrigins/mod.ts';
import type {
  OriginAnswer,
  OriginQuery,
  OriginResult,
  StreamKey,
  StreamOrigin,
  VersionSummary,
} from '../../core/streamOrigins/mod.ts';
import type { Log } from '../../log/mod.ts';
import { dispatch } from '../_handlers.ts';
import { repeatSteps } from '../_repeatSteps.ts';
import type { Handlers } from '../_handlers.ts';
import { ReconnectingLinks } from '../links/mod.ts';
import { groupOrigins, noteOrigins } from '../_originMessages.ts';
import type { Dial } from '../ports/mod.ts';
import { decodePeerMessage, encodePeerMessage } from './_peerMessages.ts';
import type { OriginMessage } from './_peerMessages.ts';
import type { ServerKeepers } from './serverKeepers.ts';

/** Options of `OriginTask`. */
export type OriginTaskOptions = {
  /** Name of this entry among its peers: the address at which they reach it. */
  readonly self: string;
  /** Short name of this process, unlikely to be that of another; new at each start. */
  readonly processName: string;
  /** Returns the addresses of the other live entries. */
  readonly peers: () => readonly string[];
  /** Returns the keepers, and the links to them. */
  readonly keepers: () => ServerKeepers;
  readonly clock: Clock;
  readonly dial: Dial;
  readonly log: Log;
  /** Returns what this entry has seen of a service. */
  readonly summaryOf: (service: string) => VersionSummary;
  /** Called with the result of each `lookUp`. */
  readonly onResult: (key: StreamKey, result: OriginResult) => void;
};

/** Interval of the checks of links and questions. */
const TICK_INTERVAL_MS: Milliseconds = 100;

/** Delay of origins, so that those of the same moment go out together; shorter than a stream needs to begin. */
const BATCH_DELAY_MS: Milliseconds = 10;

/** Interval of the messages that show that a link is alive. */
const KEEPALIVE_MS: Milliseconds = 500;

/** Time without an origin or a question after which a link is closed. */
const LINK_IDLE_MS: Milliseconds = 20_000;

type LinkUse = { usedAt: Milliseconds; askedAt: Milliseconds };

/** Tells keepers and other entries where streams begin, and asks them. */
export class OriginTask {
  readonly #options: OriginTaskOptions;

  readonly #ledger = new OriginLedger();

  readonly #lookup: OriginLookup;

  readonly #links: ReconnectingLinks;

  readonly #uses = new Map<string, LinkUse>();

  /** Origins that have not been sent yet, by holder; the last of each stream. */
  readonly #unsent = new Map<string, Map<string, StreamOrigin>>();

  #cancelFlush: Cancellation | undefined;

  #cancelTick: Cancellation | undefined;

  constructor(options: OriginTaskOptions) {
    this.#options = options;
    this.#lookup = new OriginLookup(
      {
        holdersOf: (key) => this.#askedFor(key),
        onlyVersionOf: ({ service }) => agreedVersion([options.summaryOf(service)]),
        ask: (holder, query) => this.#ask(holder, query),
        isWatcher: (holder) => !this.#isKeeper(holder),
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
    const { clock, log } = this.#options;
    this.#cancelTick = repeatSteps({
      task: 'stream-origins',
      clock,
      log,
      intervalMs: () => TICK_INTERVAL_MS,
      steps: [() => this.#tick()],
    });
  }

  /** Closes all links. */
  close(): void {
    this.#cancelTick?.();
    this.#cancelFlush?.();
    this.#links.closeAll();
  }

  /** Records where a stream begins, and soon tells the processes that keep it. */
  note(key: StreamKey, version: string): void {
    const { clock, processName, self, peers } = this.#options;
    const keepers = this.#options.keepers();
    const origin = { ...key, version, beganBy: processName };
    this.#ledger.note(origin, clock.now());
    const reachable = keepers.all().filter(({ address }) => keepers.isOpen(address));
    chooseOriginHolders(key, version, { entries: [self, ...peers()], keepers: reachable })
      .filter((holder) => holder !== self)
      .forEach((holder) => {
        const unsent = this.#unsent.get(holder) ?? new Map<string, StreamOrigin>();
        unsent.set(`${key.service} ${key.requestId}`, origin);
        this.#unsent.set(holder, unsent);
        if (!this.#isKeeper(holder)) this.#use(holder);
      });
    this.#cancelFlush ??= clock.schedule(BATCH_DELAY_MS, () => this.flush());
  }

  /** Sends the recorded origins at once. */
  flush(): void {
    this.#cancelFlush?.();
    this.#cancelFlush = undefined;
    [...this.#unsent.keys()].forEach((holder) => this.#sendOrigins(holder));
  }

  /** Returns the version at which a stream began, as far as this entry knows. */
  versionOf(key: StreamKey): string | undefined {
    return this.#ledger.find(key, this.#options.clock.now())?.version;
  }

  /** Asks keepers and the other entries where a stream began. */
  lookUp(key: StreamKey): void {
    this.#lookup.begin(key, this.#options.clock.now());
  }

  /** Applies the answer of a keeper. */
  applyAnswer(address: string, answer: OriginAnswer): void {
    this.#lookup.applyAnswer(address, answer, this.#options.clock.now());
  }

  /** Asks a keeper again what it has not answered, since the link to it has opened. */
  askAgain(address: string): void {
    this.#lookup.unansweredBy(address).forEach((query) => this.#sendQuery(address, query));
  }

  /** Handles the message of another entry. */
  handleMessage(message: OriginMessage, reply: (bytes: Uint8Array) => void): void {
    const { clock, summaryOf } = this.#options;
    const now = clock.now();
    const handlers: Handlers<OriginMessage, void> = {
      'stream-origins': (origins) => noteOrigins(this.#ledger, origins, now),
      origins: ({ origins }) => {
        origins.forEach((origin) => this.#ledger.note(origin, now));
        reply(encodePeerMessage({ kind: 'origins-received' }));
      },
      'origin-query': ({ query }) => {
        const version = this.#ledger.find(query, now)?.version;
        const answer = { number: query.number, version, seen: summaryOf(query.service) };
        reply(encodePeerMessage({ kind: 'origin-answer', answer }));
      },
    };
    dispatch(handlers, message);
  }

  #askedFor(key: StreamKey): readonly string[] {
    const { self, peers, keepers } = this.#options;
    const candidates = { entries: [self, ...peers()], keepers: keepers().all() };
    return chooseAsked(key, candidates).filter((holder) => holder !== self);
  }

  #isKeeper(address: string): boolean {
    return this.#options
      .keepers()
      .all()
      .some((keeper) => keeper.address === address);
  }

  #use(address: string): void {
    const now = this.#options.clock.now();
    const use = this.#uses.get(address);
    if (use === undefined) this.#uses.set(address, { usedAt: now, askedAt: now });
    else use.usedAt = now;
    this.#links.open(address);
  }

  /** Sends the origins for a holder; those for an entry wait while the link to it is not open. */
  #sendOrigins(holder: string): void {
    const { processName, keepers } = this.#options;
    const isKeeper = this.#isKeeper(holder);
    if (!isKeeper && this.#uses.has(holder) && !this.#links.isOpen(holder)) return;
    const origins = [...(this.#unsent.get(holder)?.values() ?? [])];
    this.#unsent.delete(holder);
    if (origins.length === 0) return;
    const message = groupOrigins(processName, origins);
    if (isKeeper) keepers().send(holder, message);
    else this.#links.send(holder, encodePeerMessage(message));
  }

  #ask(holder: string, query: OriginQuery): void {
    if (!this.#isKeeper(holder)) this.#use(holder);
    this.#sendQuery(holder, query);
  }

  #sendQuery(holder: string, query: OriginQuery): void {
    const message = { kind: 'origin-query', query } as const;
    if (this.#isKeeper(holder)) this.#options.keepers().send(holder, message);
    else this.#links.send(holder, encodePeerMessage(message));
  }

  #resend(holder: string): void {
    this.#sendKeepalive(holder);
    this.#sendOrigins(holder);
    this.askAgain(holder);
  }

  /** Asks an entry for an acknowledgement, which shows that the link is alive. */
  #sendKeepalive(address: string): void {
    const use = this.#uses.get(address);
    if (use !== undefined) use.askedAt = this.#options.clock.now();
    this.#links.send(address, encodePeerMessage({ kind: 'origins', origins: [] }));
  }

  #tick(): void {
    const now = this.#options.clock.now();
    this.#lookup.tick(now);
    this.#links.tick();
    const live = new Set(this.#options.peers());
    this.#uses.forEach(({ usedAt, askedAt }, address) => {
      if (now - usedAt > LINK_IDLE_MS || !live.has(address)) this.#forget(address);
      else if (now - askedAt > KEEPALIVE_MS && this.#links.isOpen(address)) {
        this.#sendKeepalive(address);
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
      this.applyAnswer(address, message.answer);
    } else if (message?.kind !== 'origins-received') {
      this.#options.log('messageUnreadable', { from: address, bytes: bytes.length });
    }
  }
}
