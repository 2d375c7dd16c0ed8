import type { Cancellation, Clock, Milliseconds } from '../../core/clock/mod.ts';
import type { ExchangeName, Incarnation } from '../../core/identity/mod.ts';
import type { DemandTotal } from '../../core/limits/mod.ts';
import { DEFAULT_LINK_TIMING, EntryLink } from '../../core/link/mod.ts';
import type {
  Call,
  EntryLinkAction,
  EntryLinkOptions,
  Epoch,
  ExchangeEvent,
  LinkHealth,
  LoadReport,
  SetFrame,
  SetStamp,
  SidecarFrame,
} from '../../core/link/mod.ts';
import type { Log } from '../../log/mod.ts';
import { decodeEnvelope, encodeEnvelope } from '../_codec.ts';
import { dispatch } from '../_handlers.ts';
import type { Handlers } from '../_handlers.ts';
import { Mailbox } from '../mailbox/mod.ts';
import type { Connection, Dial } from '../ports/mod.ts';

/** What a link tells its owner when it changes. */
export type LinkStatus = {
  readonly host: string;
  readonly health: LinkHealth;
  readonly incarnation: Incarnation;
  readonly report: LoadReport;
  readonly peerSet: SetStamp;
  /** Demand of tenants that the sidecar relays. */
  readonly demand: readonly DemandTotal[];
};

/** What a `LinkTask` tells its owner. */
export type LinkNews =
  | { readonly kind: 'link-status'; readonly status: LinkStatus }
  | { readonly kind: 'set-frame'; readonly host: string; readonly frame: SetFrame }
  | {
      readonly kind: 'exchange-event';
      readonly exchange: ExchangeName;
      readonly event: ExchangeEvent;
    };

/** How to build a `LinkTask`. */
export type LinkTaskOptions = EntryLinkOptions & {
  readonly clock: Clock;
  readonly dial: Dial;
  /** `ip:port` of the sidecar. */
  readonly address: string;
  readonly log: Log;
  readonly onNews: (news: LinkNews) => void;
};

type Message =
  | { readonly kind: 'tick' }
  | { readonly kind: 'opened'; readonly epoch: Epoch }
  | { readonly kind: 'received'; readonly epoch: Epoch; readonly bytes: Uint8Array }
  | { readonly kind: 'closed'; readonly epoch: Epoch }
  | { readonly kind: 'set'; readonly set: SetStamp }
  | { readonly kind: 'send-set'; readonly frame: SetFrame }
  | {
      readonly kind: 'submit';
      readonly exchange: ExchangeName;
      readonly call: Call;
      readonly generation: number;
      readonly deadline: Milliseconds;
    }
  | { readonly kind: 'cancel'; readonly exchange: ExchangeName };

/** Fractions of a heartbeat at which the link looks at its timers. */
const TICKS_PER_HEARTBEAT = 5;

/** Owns the connections of an entry to one sidecar. */
export class LinkTask {
  readonly #options: LinkTaskOptions;

  readonly #link: EntryLink;

  readonly #connections = new Map<Epoch, Connection>();

  readonly #mailbox: Mailbox<Message>;

  #cancelTick: Cancellation | undefined;

  #toldStatus: Partial<LinkStatus> = {};

  constructor(options: LinkTaskOptions) {
    this.#options = options;
    this.#link = new EntryLink(options);
    this.#mailbox = new Mailbox<Message>({
      handle: (message) => this.#handle(message),
      onError: (error) => options.log('internalError', { detail: String(error) }),
    });
  }

  /** Opens the link. */
  start(): void {
    this.#mailbox.post({ kind: 'tick' });
    const { heartbeatMs } = { ...DEFAULT_LINK_TIMING, ...this.#options.timing };
    this.#cancelTick = this.#options.clock.schedule(heartbeatMs / TICKS_PER_HEARTBEAT, () =>
      this.start(),
    );
  }

  /** Closes the link. */
  stop(): void {
    this.#cancelTick?.();
    this.#mailbox.close();
    this.#connections.forEach((connection) => connection.close());
    this.#connections.clear();
  }

  /** Sends a call. */
  submit(
    exchange: ExchangeName,
    call: Call,
    limits: { readonly generation: number; readonly deadline: Milliseconds },
  ): void {
    this.#mailbox.post({ kind: 'submit', exchange, call, ...limits });
  }

  /** Gives an exchange up. */
  cancel(exchange: ExchangeName): void {
    this.#mailbox.post({ kind: 'cancel', exchange });
  }

  /** Notes the set in force at the entry. */
  noteSet(set: SetStamp): void {
    this.#mailbox.post({ kind: 'set', set });
  }

  /** Sends a frame of the set. */
  sendSet(frame: SetFrame): void {
    this.#mailbox.post({ kind: 'send-set', frame });
  }

  readonly #handlers: Handlers<Message, readonly EntryLinkAction[]> = {
    tick: () => this.#link.tick(this.#now()),
    opened: ({ epoch }) => this.#link.opened(epoch),
    received: ({ epoch, bytes }) => this.#receive(epoch, bytes),
    closed: ({ epoch }) => {
      this.#connections.delete(epoch);
      return this.#link.closed(epoch, this.#now());
    },
    set: ({ set }) => {
      this.#link.noteSet(set);
      return [];
    },
    'send-set': ({ frame }) => this.#link.sendSet(frame),
    submit: ({ exchange, call, generation, deadline }) => {
      const now = this.#now();
      return this.#link.submit(exchange, call, { generation, budgetMs: deadline - now }, now);
    },
    cancel: ({ exchange }) => this.#link.cancel(exchange),
  };

  #now(): Milliseconds {
    return this.#options.clock.now();
  }

  #handle(message: Message): void {
    dispatch(this.#handlers, message).forEach((action) => dispatch(this.#performers, action));
    this.#tellStatus();
  }

  #receive(epoch: Epoch, bytes: Uint8Array): readonly EntryLinkAction[] {
    const envelope = decodeEnvelope<SidecarFrame>(bytes, 'sidecar');
    if (envelope !== undefined) return this.#link.received(epoch, envelope, this.#now());
    this.#options.log('linkDamaged', { peer: this.#options.target });
    this.#connections.get(epoch)?.close();
    this.#connections.delete(epoch);
    return this.#link.closed(epoch, this.#now());
  }

  readonly #performers: Handlers<EntryLinkAction, void> = {
    dial: ({ epoch }) => this.#dial(epoch),
    send: ({ epoch, envelope }) => this.#connections.get(epoch)?.send(encodeEnvelope(envelope)),
    close: ({ epoch }) => {
      this.#connections.get(epoch)?.close();
      this.#connections.delete(epoch);
    },
    deliver: ({ exchange, event }) =>
      this.#options.onNews({ kind: 'exchange-event', exchange, event }),
    'set-frame': ({ frame }) =>
      this.#options.onNews({ kind: 'set-frame', host: this.#options.target, frame }),
    ready: ({ epoch }) => this.#options.log('linkReady', { peer: this.#options.target, epoch }),
    suspected: ({ silentMs }) =>
      this.#options.log('linkSuspected', { peer: this.#options.target, silentMs }),
    mismatch: ({ detail }) =>
      this.#options.log('linkRefused', { peer: this.#options.target, detail }),
  };

  #dial(epoch: Epoch): void {
    const connection = this.#options.dial(this.#options.address, {
      opened: () => this.#mailbox.post({ kind: 'opened', epoch }),
      received: (bytes) => this.#mailbox.post({ kind: 'received', epoch, bytes }),
      closed: () => this.#mailbox.post({ kind: 'closed', epoch }),
    });
    this.#connections.set(epoch, connection);
  }

  /** Tells the owner the link's status when it differs from what was told last. */
  #tellStatus(): void {
    const { demand, health, incarnation, report, peerSet } = this.#link;
    const told = this.#toldStatus;
    const isSame =
      told.health === health && told.incarnation === incarnation && told.report === report;
    if (isSame) return;
    const status = { host: this.#options.target, health, incarnation, report, peerSet, demand };
    this.#toldStatus = status;
    this.#options.onNews({ kind: 'link-status', status });
  }
}
