import type { Cancellation, Clock, Milliseconds } from '../../core/clock/mod.ts';
import type { ExchangeId, Incarnation } from '../../core/identity/mod.ts';
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

/** The state of a link and the latest reports of its sidecar. */
export type LinkStatus = {
  readonly host: string;
  readonly health: LinkHealth;
  readonly incarnation: Incarnation;
  readonly report: LoadReport;
  /** The set in force at the sidecar. */
  readonly peerSet: SetStamp;
  /** Tenants' demand at all entries, as summed by the sidecar. */
  readonly demand: readonly DemandTotal[];
};

/** An event that a `LinkTask` reports to its owner. */
export type LinkEvent =
  | { readonly kind: 'link-status'; readonly status: LinkStatus }
  | { readonly kind: 'set-frame'; readonly host: string; readonly frame: SetFrame }
  | {
      readonly kind: 'exchange-event';
      readonly exchange: ExchangeId;
      readonly event: ExchangeEvent;
    };

/** Options of a `LinkTask`. */
export type LinkTaskOptions = EntryLinkOptions & {
  readonly clock: Clock;
  readonly dial: Dial;
  /** `ip:port` of the sidecar. */
  readonly address: string;
  readonly log: Log;
  readonly onEvent: (event: LinkEvent) => void;
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
      readonly exchange: ExchangeId;
      readonly call: Call;
      readonly generation: number;
      readonly deadline: Milliseconds;
    }
  | { readonly kind: 'cancel'; readonly exchange: ExchangeId };

/** Ticks of the link per heartbeat interval; each checks the link's timers. */
const TICKS_PER_HEARTBEAT = 5;

/** Owns an entry's link to one sidecar and its connections. */
export class LinkTask {
  readonly #options: LinkTaskOptions;

  readonly #link: EntryLink;

  readonly #connections = new Map<Epoch, Connection>();

  readonly #mailbox: Mailbox<Message>;

  #cancelTick: Cancellation | undefined;

  #reportedStatus: Partial<LinkStatus> = {};

  constructor(options: LinkTaskOptions) {
    this.#options = options;
    this.#link = new EntryLink(options);
    this.#mailbox = new Mailbox<Message>({
      handle: (message) => this.#handle(message),
      onError: (error) => options.log('internalError', { detail: String(error) }),
    });
  }

  /** Starts the timers, which open the link. */
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

  /** Sends a call; its events follow as `exchange-event`. */
  submit(
    exchange: ExchangeId,
    call: Call,
    options: { readonly generation: number; readonly deadline: Milliseconds },
  ): void {
    this.#mailbox.post({ kind: 'submit', exchange, call, ...options });
  }

  /** Cancels an exchange. */
  cancel(exchange: ExchangeId): void {
    this.#mailbox.post({ kind: 'cancel', exchange });
  }

  /** Updates the set in force at the entry, which heartbeats report to the sidecar. */
  updateOwnSet(set: SetStamp): void {
    this.#mailbox.post({ kind: 'set', set });
  }

  /** Sends a set frame to the sidecar. */
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
      this.#link.updateOwnSet(set);
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
    dispatch(this.#handlers, message).forEach((action) => dispatch(this.#actionHandlers, action));
    this.#reportStatus();
  }

  #receive(epoch: Epoch, bytes: Uint8Array): readonly EntryLinkAction[] {
    const envelope = decodeEnvelope<SidecarFrame>(bytes, 'sidecar');
    if (envelope !== undefined) return this.#link.received(epoch, envelope, this.#now());
    this.#options.log('linkDamaged', { peer: this.#options.target });
    this.#connections.get(epoch)?.close();
    this.#connections.delete(epoch);
    return this.#link.closed(epoch, this.#now());
  }

  readonly #actionHandlers: Handlers<EntryLinkAction, void> = {
    dial: ({ epoch }) => this.#dial(epoch),
    send: ({ epoch, envelope }) => this.#connections.get(epoch)?.send(encodeEnvelope(envelope)),
    close: ({ epoch }) => {
      this.#connections.get(epoch)?.close();
      this.#connections.delete(epoch);
    },
    deliver: ({ exchange, event }) =>
      this.#options.onEvent({ kind: 'exchange-event', exchange, event }),
    'set-frame': ({ frame }) =>
      this.#options.onEvent({ kind: 'set-frame', host: this.#options.target, frame }),
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

  /** Reports the link's status to the owner if it has changed since the last report. */
  #reportStatus(): void {
    const { demand, health, incarnation, report, peerSet } = this.#link;
    const last = this.#reportedStatus;
    const isSame =
      last.health === health && last.incarnation === incarnation && last.report === report;
    if (isSame) return;
    const status = { host: this.#options.target, health, incarnation, report, peerSet, demand };
    this.#reportedStatus = status;
    this.#options.onEvent({ kind: 'link-status', status });
  }
}
