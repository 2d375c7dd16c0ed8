import { connect } from 'node:net';
import type { Socket } from 'node:net';

/** A connection that sends and shows bytes as they are. For tests only. */
export type RawConnection = {
  readonly socket: Socket;
  /** All that has arrived, as latin1 text. */
  readonly text: () => string;
  /** Resolves once what has arrived fits; rejects when the connection closes before. */
  readonly until: (pattern: RegExp) => Promise<string>;
  /** Resolves with all that has arrived once the connection has closed. */
  readonly closed: Promise<string>;
};

/** Opens a connection to a port of loopback. */
export function openRawConnection(port: number): RawConnection {
  const socket = connect(port, '127.0.0.1');
  let received = '';
  const watchers = new Set<() => void>();
  socket.setEncoding('latin1');
  socket.on('data', (piece: string) => {
    received += piece;
    watchers.forEach((watch) => watch());
  });
  // A reset shows as the close that follows it.
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
        const look = (): void => {
          if (!pattern.test(received)) return;
          watchers.delete(look);
          resolve(received);
        };
        watchers.add(look);
        look();
        closed.then(
          () => reject(new Error(`closed before ${pattern} came; got ${received}`)),
          reject,
        );
      }),
  };
}
