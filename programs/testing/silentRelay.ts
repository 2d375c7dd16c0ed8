import { connect, createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';

/** A TCP relay on loopback whose open connections can be made silent while new ones work. */
export type SilentRelay = {
  readonly port: number;
  /** Stops forwarding bytes on the currently open connections, without closing them. */
  readonly silence: () => void;
  readonly close: () => Promise<void>;
};

function relayBytes(from: Socket, to: Socket, isSilent: () => boolean): void {
  from.on('data', (bytes) => {
    if (!isSilent()) to.write(bytes);
  });
  from.on('close', () => {
    if (!isSilent()) to.destroy();
  });
  from.on('error', () => from.destroy());
}

/**
 * Starts a relay.
 *
 * @param targetPort Loopback port to which connections are relayed.
 */
export async function startSilentRelay(targetPort: number): Promise<SilentRelay> {
  const sockets = new Set<Socket>();
  const silent = new WeakSet<Socket>();
  const server = createServer((near) => {
    const far = connect(targetPort, '127.0.0.1');
    const isSilent = (): boolean => silent.has(near);
    [near, far].forEach((socket) => sockets.add(socket));
    relayBytes(near, far, isSilent);
    relayBytes(far, near, isSilent);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return {
    port: (server.address() as AddressInfo).port,
    silence: () => sockets.forEach((socket) => silent.add(socket)),
    close: () =>
      new Promise((resolve) => {
        sockets.forEach((socket) => socket.destroy());
        server.close(() => resolve());
      }),
  };
}
