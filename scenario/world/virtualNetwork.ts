import type { Clock, Milliseconds } from '../../core/clock/mod.ts';
import type { Accept, Connection, ConnectionEvents, Dial } from '../../tasks/ports/mod.ts';
import type { ProcessGate } from './processGate.ts';

/** An endpoint of connections: a process on a host. */
export type Endpoint = { readonly host: string; readonly gate: ProcessGate };

type Listener = { readonly endpoint: Endpoint; readonly accept: Accept };

/** One direction of a connection. */
type Direction = {
  readonly from: Endpoint;
  readonly to: Endpoint;
  events: ConnectionEvents | undefined;
  /** Deliveries that wait until the path is restored. */
  deferred: (() => void)[];
  /** Whether everything sent is lost while the connection stays open. */
  silent: boolean;
};

type ConnectionState = { readonly forward: Direction; readonly backward: Direction; open: boolean };

function deliverClose(direction: Direction): void {
  const { events } = direction;
  direction.events = undefined;
  events?.closed();
}

/** What the network does with one frame. */
export type FrameAction =
  | { readonly kind: 'deliver' }
  | { readonly kind: 'drop' }
  | { readonly kind: 'duplicate' }
  | { readonly kind: 'delay'; readonly delayMs: Milliseconds };

/** A frame that is being sent; `number` counts all frames of the network from 1. */
export type FrameInfo = { readonly number: number; readonly from: string; readonly to: string };

/** How to build a `VirtualNetwork`. */
export type VirtualNetworkOptions = {
  readonly clock: Clock;
  /** Decides what happens to each frame. @default every frame is delivered */
  readonly chooseFrameAction?: (frame: FrameInfo) => FrameAction;
  /** Returns the one-way delay between two hosts. */
  readonly latency: (from: string, to: string) => Milliseconds;
};

/**
 * In-memory network of ordered connections, with fault injection.
 *
 * A cut path delays frames until it is restored, as TCP retransmission does. A silenced connection
 * loses all further frames but stays open, while new connections work.
 */
export class VirtualNetwork {
  readonly #options: VirtualNetworkOptions;

  readonly #listeners = new Map<string, Listener>();

  readonly #cuts = new Set<string>();

  #connections: ConnectionState[] = [];

  #frames = 0;

  constructor(options: VirtualNetworkOptions) {
    this.#options = options;
  }

  /** Number of frames sent so far. */
  get frames(): number {
    return this.#frames;
  }

  /** Accepts connections at an address. */
  listen(address: string, endpoint: Endpoint, accept: Accept): void {
    this.#listeners.set(address, { endpoint, accept });
  }

  /** Returns the function by which a process opens connections. */
  dialFrom(from: Endpoint): Dial {
    return (address, events) => this.#dial(from, address, events);
  }

  /** Cuts the path from one host to another: deliveries wait until `heal`. */
  cut(from: string, to: string): void {
    this.#cuts.add(`${from}>${to}`);
  }

  /** Restores the path from one host to another and schedules the waiting deliveries. */
  heal(from: string, to: string): void {
    this.#cuts.delete(`${from}>${to}`);
    for (const direction of this.#directionsBetween(from, to)) {
      const { deferred } = direction;
      direction.deferred = [];
      deferred.forEach((call) => this.#scheduleDelivery(direction, call));
    }
  }

  /** Silently drops all further traffic on the connections now open between two hosts. */
  silence(a: string, b: string): void {
    [...this.#directionsBetween(a, b), ...this.#directionsBetween(b, a)].forEach((direction) => {
      direction.silent = true;
    });
  }

  /** Closes all connections of a process that was killed. */
  reset(endpoint: Endpoint): void {
    for (const [address, listener] of this.#listeners) {
      if (listener.endpoint === endpoint) this.#listeners.delete(address);
    }
    this.#connections
      .filter(({ forward, backward }) => forward.from === endpoint || backward.from === endpoint)
      .forEach((connection) => this.#close(connection, connection.forward.from === endpoint));
  }

  #directionsBetween(from: string, to: string): readonly Direction[] {
    return this.#connections
      .flatMap(({ forward, backward }) => [forward, backward])
      .filter((direction) => direction.from.host === from && direction.to.host === to);
  }

  #dial(from: Endpoint, address: string, events: ConnectionEvents): Connection {
    const listener = this.#listeners.get(address);
    const to = listener?.endpoint ?? from;
    const connection: ConnectionState = {
      forward: { from, to, events: undefined, deferred: [], silent: false },
      backward: { from: to, to: from, events, deferred: [], silent: false },
      open: true,
    };
    this.#connections.push(connection);
    if (listener === undefined) {
      this.#scheduleDelivery(connection.backward, () => deliverClose(connection.backward));
      connection.open = false;
      return { send: () => undefined, close: () => undefined };
    }
    this.#transmit(connection.forward, () => {
      connection.forward.events = listener.accept(this.#createEnd(connection, false));
      this.#transmit(connection.backward, () => events.opened());
    });
    return this.#createEnd(connection, true);
  }

  #createEnd(connection: ConnectionState, isClient: boolean): Connection {
    const direction = isClient ? connection.forward : connection.backward;
    return {
      send: (bytes) => {
        this.#frames += 1;
        if (connection.open) this.#sendFrame(direction, () => direction.events?.received(bytes));
      },
      close: () => this.#close(connection, isClient),
    };
  }

  #close(connection: ConnectionState, byClient: boolean): void {
    if (!connection.open) return;
    connection.open = false;
    const direction = byClient ? connection.forward : connection.backward;
    this.#transmit(direction, () => deliverClose(direction));
    this.#connections = this.#connections.filter(
      (each) => each.open || each.forward.deferred.length > 0,
    );
  }

  /** Sends a frame, or drops, delays or duplicates it as the options decide. */
  #sendFrame(direction: Direction, deliver: () => void): void {
    const info = { number: this.#frames, from: direction.from.host, to: direction.to.host };
    const action = this.#options.chooseFrameAction?.(info) ?? { kind: 'deliver' };
    if (action.kind === 'drop') return;
    if (action.kind === 'delay') {
      this.#options.clock.schedule(action.delayMs, () => this.#transmit(direction, deliver));
      return;
    }
    this.#transmit(direction, deliver);
    if (action.kind === 'duplicate') this.#transmit(direction, deliver);
  }

  /** Schedules a delivery, or defers it while the path is cut. */
  #transmit(direction: Direction, call: () => void): void {
    if (direction.silent) return;
    if (this.#cuts.has(`${direction.from.host}>${direction.to.host}`)) {
      direction.deferred.push(call);
      return;
    }
    this.#scheduleDelivery(direction, call);
  }

  #scheduleDelivery(direction: Direction, call: () => void): void {
    const delay = this.#options.latency(direction.from.host, direction.to.host);
    this.#options.clock.schedule(delay, () => {
      if (!direction.silent) direction.to.gate.run(call);
    });
  }
}
