import { connect } from 'node:net';
import type { Socket } from 'node:net';

/** A TCP connection that sends and receives raw bytes. For tests only. */
export type RawConnection = {
  readonly socket: Socket;
  /** Returns all received data as latin1 text. */
  readonly text: () => string;
  /** Resolves once the received data matches; rejects if the connection closes before. */
  readonly until: (pattern: RegExp) => Promise<string>;
  /** Resolves with all received data once the connection has closed. */
  readonly closed: Promise<string>;
};

/** Opens a connection to a port on loopback. */
export function openRawConnection(port: number): RawConnection {
  const socket = connect(port, '127.0.0.1');
  let received = '';
  const listeners = new Set<() => void>();
  socket.setEncoding('latin1');
  socket.on('data', (chunk: string) => {
    received += chunk;
    listeners.forEach((listener) => listener());
  });
  // A reset is handled by the `close` event that follows.
  socket.on('error', () => undefined);
  const closed = new Promise<string>((resolve) => {
    socket.once('close', () => resolve(received));
  });
  return {
    socket,
    closed,
    text: () => received,
    until: (pattern) =>
      new Promise((resolve, reject) => {
        const check = (): void => {
          if (!pattern.test(received)) return;
          listeners.delete(check);
          resolve(received);
        };
        listeners.add(check);
        check();
        closed.then(
          () =>
            reject(
              new Error(`the connection closed before ${pattern} was received; got ${received}`),
            ),
          reject,
        );
      }),
  };
}
