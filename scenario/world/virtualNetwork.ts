import type { Clock, Milliseconds } from '../../core/clock/mod.ts';
import type { Accept, Connection, ConnectionEvents, Dial } from '../../tasks/ports/mod.ts';
import type { ProcessGate } from './processGate.ts';

/** One end of the network: a process on a host. */
export type Endpoint = { readonly host: string; readonly gate: ProcessGate };

type Listener = { readonly endpoint: Endpoint; readonly accept: Accept };

/** One direction of a connection. */
type Lane = {
  readonly from: Endpoint;
  readonly to: Endpoint;
  events: ConnectionEvents | undefined;
  /** Calls that wait for the path to heal. */
  held: (() => void)[];
  silent: boolean;
};

type Pair = { readonly there: Lane; readonly back: Lane; open: boolean };

function deliverClose(lane: Lane): void {
  const { events } = lane;
  lane.events = undefined;
  events?.closed();
}

/** What the network does with one frame. */
export type FrameTreatment =
  | { readonly kind: 'deliver' }
  | { readonly kind: 'lose' }
  | { readonly kind: 'repeat' }
  | { readonly kind: 'delay'; readonly delayMs: Milliseconds };

/** A frame on its way. */
export type FrameFacts = { readonly number: number; readonly from: string; readonly to: string };

/** How a network behaves. */
export type VirtualNetworkOptions = {
  readonly clock: Clock;
  /** Decides what happens to each frame. @default every frame is delivered */
  readonly treat?: (frame: FrameFacts) => FrameTreatment;
  /** Returns the one-way delay between two hosts. */
  readonly latency: (from: string, to: string) => Milliseconds;
};

/**
 * A network of ordered connections in memory, with faults.
 *
 * Across a cut path bytes wait and arrive when it heals, as TCP would send them again; over a
 * silenced connection they are lost for good while new connections work.
 */
export class VirtualNetwork {
  readonly #options: VirtualNetworkOptions;

  readonly #listeners = new Map<string, Listener>();

  readonly #cuts = new Set<string>();

  #pairs: Pair[] = [];

  #frames = 0;

  constructor(options: VirtualNetworkOptions) {
    this.#options = options;
  }

  /** Frames that were sent. */
  get frames(): number {
    return this.#frames;
  }

  /** Accepts connections at an address. */
  listen(address: string, endpoint: Endpoint, accept: Accept): void {
    this.#listeners.set(address, { endpoint, accept });
  }

  /** Returns how a process opens connections. */
  dialFrom(from: Endpoint): Dial {
    return (address, events) => this.#dial(from, address, events);
  }

  /** Holds back everything from one host to another. */
  cut(from: string, to: string): void {
    this.#cuts.add(`${from}>${to}`);
  }

  /** Lets everything held back between two hosts arrive. */
  heal(from: string, to: string): void {
    this.#cuts.delete(`${from}>${to}`);
    for (const lane of this.#lanes(from, to)) {
      const { held } = lane;
      lane.held = [];
      held.forEach((call) => this.#after(lane, call));
    }
  }

  /** Loses, for good and without a word, all that open connections between two hosts carry. */
  silence(a: string, b: string): void {
    [...this.#lanes(a, b), ...this.#lanes(b, a)].forEach((lane) => {
      lane.silent = true;
    });
  }

  /** Closes all connections of a process that was killed. */
  reset(endpoint: Endpoint): void {
    for (const [address, listener] of this.#listeners) {
      if (listener.endpoint === endpoint) this.#listeners.delete(address);
    }
    this.#pairs
      .filter(({ there, back }) => there.from === endpoint || back.from === endpoint)
      .forEach((pair) => this.#close(pair, pair.there.from === endpoint));
  }

  #lanes(from: string, to: string): readonly Lane[] {
    return this.#pairs
      .flatMap(({ there, back }) => [there, back])
      .filter((lane) => lane.from.host === from && lane.to.host === to);
  }

  #dial(from: Endpoint, address: string, events: ConnectionEvents): Connection {
    const listener = this.#listeners.get(address);
    const to = listener?.endpoint ?? from;
    const pair: Pair = {
      there: { from, to, events: undefined, held: [], silent: false },
      back: { from: to, to: from, events, held: [], silent: false },
      open: true,
    };
    this.#pairs.push(pair);
    if (listener === undefined) {
      this.#after(pair.back, () => deliverClose(pair.back));
      pair.open = false;
      return { send: () => undefined, close: () => undefined };
    }
    this.#pass(pair.there, () => {
      pair.there.events = listener.accept(this.#connection(pair, false));
      this.#pass(pair.back, () => events.opened());
    });
    return this.#connection(pair, true);
  }

  #connection(pair: Pair, isDialler: boolean): Connection {
    const lane = isDialler ? pair.there : pair.back;
    return {
      send: (bytes) => {
        this.#frames += 1;
        if (pair.open) this.#carry(lane, () => lane.events?.received(bytes));
      },
      close: () => this.#close(pair, isDialler),
    };
  }

  #close(pair: Pair, byDialler: boolean): void {
    if (!pair.open) return;
    pair.open = false;
    const lane = byDialler ? pair.there : pair.back;
    this.#pass(lane, () => deliverClose(lane));
    this.#pairs = this.#pairs.filter((each) => each.open || each.there.held.length > 0);
  }

  /** Carries a frame as the options say. */
  #carry(lane: Lane, deliver: () => void): void {
    const facts = { number: this.#frames, from: lane.from.host, to: lane.to.host };
    const treatment = this.#options.treat?.(facts) ?? { kind: 'deliver' };
    if (treatment.kind === 'lose') return;
    if (treatment.kind === 'delay') {
      this.#options.clock.schedule(treatment.delayMs, () => this.#pass(lane, deliver));
      return;
    }
    this.#pass(lane, deliver);
    if (treatment.kind === 'repeat') this.#pass(lane, deliver);
  }

  /** Carries a call along a lane, or holds it while the path is cut. */
  #pass(lane: Lane, call: () => void): void {
    if (lane.silent) return;
    if (this.#cuts.has(`${lane.from.host}>${lane.to.host}`)) {
      lane.held.push(call);
      return;
    }
    this.#after(lane, call);
  }

  #after(lane: Lane, call: () => void): void {
    const delay = this.#options.latency(lane.from.host, lane.to.host);
    this.#options.clock.schedule(delay, () => {
      if (!lane.silent) lane.to.gate.run(call);
    });
  }
}
