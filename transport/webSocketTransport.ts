import { WebSocket, WebSocketServer } from 'ws';
import type { RawData } from 'ws';
import type { Accept, Connection, ConnectionEvents, Dial } from '../tasks/ports/mod.ts';

/** The largest frame that is accepted, in bytes. */
const MAX_FRAME_BYTES = 4 * 1024 * 1024;

/** Bytes waiting for a slow reader above which its connection is closed. */
const MAX_BUFFERED_BYTES = 16 * 1024 * 1024;

function toBytes(data: RawData): Uint8Array {
  if (Array.isArray(data)) return Buffer.concat(data);
  return data instanceof ArrayBuffer ? new Uint8Array(data) : data;
}

function connectionOf(socket: WebSocket): Connection {
  return {
    send: (bytes) => {
      if (socket.readyState !== WebSocket.OPEN) return;
      if (socket.bufferedAmount > MAX_BUFFERED_BYTES) socket.terminate();
      else socket.send(bytes);
    },
    close: () => socket.terminate(),
  };
}

function follow(socket: WebSocket, events: ConnectionEvents): void {
  socket.on('message', (data: RawData) => events.received(toBytes(data)));
  socket.on('close', () => events.closed());
  socket.on('error', () => socket.terminate());
}

/** Opens a WebSocket connection to `ip:port`. */
export const dialWebSocket: Dial = (address, events) => {
  const socket = new WebSocket(`ws://${address}`, {
    perMessageDeflate: false,
    maxPayload: MAX_FRAME_BYTES,
  });
  socket.on('open', () => events.opened());
  follow(socket, events);
  return connectionOf(socket);
};

/** Where to listen. */
export type ListenAddress = { readonly ip: string; readonly port: number };

/** A listening socket. */
export type Listener = { readonly port: number; readonly close: () => Promise<void> };

/**
 * Accepts WebSocket connections.
 *
 * @param address Where to listen; port 0 takes a free one.
 * @param accept Told of each connection.
 */
export async function listenWebSocket(address: ListenAddress, accept: Accept): Promise<Listener> {
  const server = new WebSocketServer({
    host: address.ip,
    port: address.port,
    perMessageDeflate: false,
    maxPayload: MAX_FRAME_BYTES,
  });
  server.on('connection', (socket) => follow(socket, accept(connectionOf(socket))));
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
