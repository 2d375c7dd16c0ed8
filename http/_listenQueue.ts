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

/** Time after which a probe that does not connect is replaced: the queue is full. */
const CONNECT_TIMEOUT_MS: Milliseconds = 200;

/** Limit of connections that drops all new ones; in Node.js 20, 0 means no limit. */
const DROP_ALL = -1;

/** Where a connection comes from; parts are missing once it is closed. */
export type RemoteAddress = {
  readonly remoteAddress?: string | undefined;
  readonly remotePort?: number | undefined;
};

function formatAddress(ip = '', port = 0): string {
  return `${ip}:${port}`;
}

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

  /** Age of the queue, by the addresses of the probes that wait in it. */
  readonly #age = new ListenQueueAge<string>();

  /** Probes that wait in the queue, by their addresses. */
  readonly #probes = new Map<string, Socket>();

  /** The probe that is not known to have joined the queue. */
  #connecting: Socket | undefined;

  /** Addresses accepted while a probe connects; its own may be among them, and is not known before. */
  readonly #acceptedAddresses = new Set<string>();

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

  /** Records that a connection was accepted; returns whether it is a caller's, and not known as a probe. */
  noteAccepted(remote: RemoteAddress): boolean {
    this.#hasAccepted = true;
    const address = formatAddress(remote.remoteAddress, remote.remotePort);
    if (this.#probes.has(address)) {
      const waitedMs = this.#age.noteLeft(address, performance.now());
      if (waitedMs !== undefined) this.#onWait(waitedMs);
      this.#endProbe(address);
      return false;
    }
    if (this.#connecting !== undefined) this.#acceptedAddresses.add(address);
    this.#hasAcceptedCaller = true;
    return true;
  }

  /** Records that a connection was dropped; returns whether it is a caller's, and not known as a probe. */
  noteDropped(remote: RemoteAddress): boolean {
    const isCaller = this.noteAccepted(remote);
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
    const pauseMs = this.#connecting === undefined ? PROBE_INTERVAL_MS : CONNECT_TIMEOUT_MS;
    const mayProbe = busyMs >= PROBE_INTERVAL_MS && now - this.#probedAt >= pauseMs;
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
    [...this.#probes.keys()].forEach((address) => this.#endProbe(address));
  }

  #probe(now: Milliseconds): void {
    const bound = this.#server.address();
    if (typeof bound !== 'object' || bound === null) return;
    this.#hasAcceptedCaller = false;
    this.#probedAt = now;
    this.#connecting?.destroy();
    const socket = connect(bound.port, bound.address);
    this.#connecting = socket;
    this.#acceptedAddresses.clear();
    socket.on('error', () => undefined);
    socket.once('connect', () => this.#noteJoined(socket, now));
    socket.once('close', () => {
      if (this.#connecting === socket) this.#connecting = undefined;
    });
  }

  #noteJoined(socket: Socket, startedAt: Milliseconds): void {
    const address = formatAddress(socket.localAddress, socket.localPort);
    if (this.#connecting === socket) this.#connecting = undefined;
    if (this.#acceptedAddresses.has(address)) {
      this.#hasAcceptedCaller = false;
      socket.destroy();
      return;
    }
    this.#probes.set(address, socket);
    this.#age.noteJoined(address, startedAt);
    socket.once('close', () => this.#endProbe(address));
  }

  #endProbe(address: string): void {
    const socket = this.#probes.get(address);
    this.#probes.delete(address);
    this.#age.noteLeft(address, performance.now());
    socket?.destroy();
  }
}
