import { connect } from 'node:net';
import type { Server, Socket } from 'node:net';
import { ListenQueueAge } from '../core/admission/mod.ts';
import type { Milliseconds } from '../core/clock/mod.ts';

/** Options of `ListenQueue`. */
export type ListenQueueOptions = {
  readonly server: Server;
  /** Called when a probe is accepted, with the time that it waited. @default does nothing */
  readonly onWait?: (waitedMs: Milliseconds) => void;
  /** Called when a caller's connection is dropped. @default does nothing */
  readonly onDropped?: () => void;
};

/** Time for which connections wait without a break before the queue is probed, and between two probes. */
const PROBE_INTERVAL_MS: Milliseconds = 50;

/** Limit of connections that drops all new ones; in Node.js 20, 0 means no limit. */
const DROP_ALL = -1;

/**
 * Bounds the time that connections wait in the listen queue of a server.
 *
 * The event loop accepts one connection per turn. Where more arrive, the queue grows, and in the end all
 * that is accepted is older than its caller's patience. So connections that have waited for too long are
 * closed unread until fresh ones are next. How long they have waited is measured with connections of the
 * process to itself, which wait among them.
 */
export class ListenQueue {
  readonly #server: Server;

  readonly #onWait: (waitedMs: Milliseconds) => void;

  readonly #onDropped: () => void;

  /** Age of the queue, by the ports of the probes that wait in it. */
  readonly #age = new ListenQueueAge<number>();

  /** Probes that have not been accepted, by their ports. */
  readonly #probes = new Map<number, Socket>();

  /** The probe that has not joined the queue yet. */
  #connecting: Socket | undefined;

  /** When connections began to be accepted in each turn; `undefined` while the queue is empty. */
  #busySince: Milliseconds | undefined;

  #probedAt: Milliseconds = -Infinity;

  #hasAcceptedCaller = false;

  #hasAccepted = false;

  #isStale = false;

  constructor({
    server,
    onWait = () => undefined,
    onDropped = () => undefined,
  }: ListenQueueOptions) {
    this.#server = server;
    this.#onWait = onWait;
    this.#onDropped = onDropped;
  }

  /** Whether connections are dropped since they have waited for too long. */
  get isStale(): boolean {
    return this.#isStale;
  }

  /** How long the connection that is accepted next has waited at least. */
  get leastAgeMs(): Milliseconds {
    return this.#age.leastAgeMs(performance.now());
  }

  /** Records that a connection was accepted; returns whether it is a caller's, and not a probe. */
  noteAccepted(remotePort: number | undefined): boolean {
    this.#hasAccepted = true;
    if (remotePort !== undefined && this.#probes.has(remotePort)) {
      this.#endProbe(remotePort);
      return false;
    }
    this.#hasAcceptedCaller = true;
    return true;
  }

  /** Records that a connection was dropped; returns whether it is a caller's, and not a probe. */
  noteDropped(remotePort: number | undefined): boolean {
    const isCaller = this.noteAccepted(remotePort);
    if (isCaller) this.#onDropped();
    return isCaller;
  }

  /** Probes the queue and begins or ends dropping, after a turn of the event loop. */
  endTurn(): void {
    const now = performance.now();
    if (this.#hasAccepted) this.#busySince ??= now;
    else this.#noteEmpty(now);
    this.#hasAccepted = false;
    this.#isStale = this.#age.isStale(now);
    this.#server.maxConnections = this.#isStale ? DROP_ALL : Infinity;
    const busyMs = now - (this.#busySince ?? now);
    const mayProbe = busyMs >= PROBE_INTERVAL_MS && now - this.#probedAt >= PROBE_INTERVAL_MS;
    // A probe must not be the reason for the next one.
    if (mayProbe && this.#hasAcceptedCaller) this.#probe(now);
  }

  /** Closes the probes. */
  close(): void {
    this.#endProbes();
    this.#connecting?.destroy();
  }

  /** Records that the queue is empty, so that a probe which should be in it has been lost. */
  #noteEmpty(now: Milliseconds): void {
    this.#busySince = undefined;
    if (this.#age.leastAgeMs(now) >= PROBE_INTERVAL_MS) this.#endProbes();
  }

  #endProbes(): void {
    [...this.#probes.keys()].forEach((port) => this.#endProbe(port));
  }

  #probe(now: Milliseconds): void {
    const bound = this.#server.address();
    if (typeof bound !== 'object' || bound === null) return;
    this.#hasAcceptedCaller = false;
    this.#probedAt = now;
    // The queue is full if the one before has not joined it.
    this.#connecting?.destroy();
    const socket = connect(bound.port, bound.address);
    this.#connecting = socket;
    let port: number | undefined;
    socket.on('error', () => undefined);
    socket.once('connect', () => {
      this.#connecting = undefined;
      if (port !== undefined && this.#probes.has(port)) this.#age.noteJoined(port, now);
    });
    socket.once('close', () => {
      if (this.#connecting === socket) this.#connecting = undefined;
      if (port !== undefined) this.#endProbe(port);
    });
    // The port is known before the other side can be accepted, and before this side is connected.
    process.nextTick(() => {
      port = socket.localPort;
      if (port !== undefined) this.#probes.set(port, socket);
    });
  }

  #endProbe(port: number): void {
    const socket = this.#probes.get(port);
    if (socket === undefined) return;
    this.#probes.delete(port);
    const waitedMs = this.#age.noteLeft(port, performance.now());
    if (waitedMs !== undefined) this.#onWait(waitedMs);
    socket.destroy();
  }
}
