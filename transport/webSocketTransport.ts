import { WebSocket, WebSocketServer } from 'ws';
import type { RawData } from 'ws';
import type { Accept, Connection, ConnectionEvents, Dial } from '../tasks/ports/mod.ts';

/** The largest frame that is accepted, in bytes. */
const MAX_FRAME_BYTES = 4 * 1024 * 1024;

/** Bytes buffered for a slow peer above which its connection is closed. */
const MAX_BUFFERED_BYTES = 16 * 1024 * 1024;

function toBytes(data: RawData): Uint8Array {
  if (Array.isArray(data)) return Buffer.concat(data);
  return data instanceof ArrayBuffer ? new Uint8Array(data) : data;
}

function createConnection(socket: WebSocket): Connection {
  return {
    send: (bytes) => {
      if (socket.readyState !== WebSocket.OPEN) return;
      if (socket.bufferedAmount > MAX_BUFFERED_BYTES) socket.terminate();
      else socket.send(bytes);
    },
    close: () => socket.terminate(),
  };
}

/** Reports an error as uncaught, outside the call that the library has to complete. */
function throwLater(error: unknown): void {
  queueMicrotask(() => {
    throw error;
  });
}

function attachEvents(socket: WebSocket, events: ConnectionEvents): void {
  socket.on('message', (data: RawData) => {
    try {
      events.received(toBytes(data));
    } catch (error) {
      // Thrown here, it would leave the receiver of the library in the middle of a frame.
      throwLater(error);
    }
  });
  socket.on('close', () => events.closed());
  socket.on('error', () => socket.terminate());
}

/** A connection that has never opened. */
const NO_CONNECTION: Connection = { send: () => undefined, close: () => undefined };

function openSocket(address: string): WebSocket | undefined {
  try {
    return new WebSocket(`ws://${address}`, {
      perMessageDeflate: false,
      maxPayload: MAX_FRAME_BYTES,
    });
  } catch {
    return undefined; // The address is invalid.
  }
}

/**
 * Opens a WebSocket connection to the address `ip:port`. One to an invalid address closes at once, like one
 * that is refused.
 */
export const dialWebSocket: Dial = (address, events) => {
  const socket = openSocket(address);
  if (socket === undefined) {
    queueMicrotask(() => events.closed());
    return NO_CONNECTION;
  }
  socket.on('open', () => events.opened());
  attachEvents(socket, events);
  return createConnection(socket);
};

/** The address to listen on. */
export type ListenAddress = { readonly ip: string; readonly port: number };

/** A listening socket. */
export type Listener = { readonly port: number; readonly close: () => Promise<void> };

/**
 * Starts a server that accepts WebSocket connections.
 *
 * @param address The address to listen on; port 0 picks a free port.
 * @param accept Called for each connection; returns the callbacks for its events.
 */
export async function listenWebSocket(address: ListenAddress, accept: Accept): Promise<Listener> {
  const server = new WebSocketServer({
    host: address.ip,
    port: address.port,
    perMessageDeflate: false,
    maxPayload: MAX_FRAME_BYTES,
  });
  server.on('connection', (socket) => attachEvents(socket, accept(createConnection(socket))));
  await new Promise<void>((resolve, reject) => {
    server.once('listening', resolve);
    server.once('error', reject);
  });
  const bound = server.address();
  return {
    port: typeof bound === 'object' && bound !== null ? bound.port : address.port,
    close: () =>
      new Promise((resolve) => {
        server.clients.forEach((socket) => socket.terminate());
        server.close(() => resolve());
      }),
  };
}
