import { connect, createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';

/** A TCP relay on loopback whose open connections can go silent while new ones work. */
export type SilentRelay = {
  readonly port: number;
  /** Stops passing bytes on the connections that are open now, without closing them. */
  readonly silence: () => void;
  readonly close: () => Promise<void>;
};

function pass(from: Socket, to: Socket, isSilent: () => boolean): void {
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
 * @param targetPort The loopback port to which connections are relayed.
 */
export async function startSilentRelay(targetPort: number): Promise<SilentRelay> {
  const sockets = new Set<Socket>();
  const silent = new WeakSet<Socket>();
  const server = createServer((near) => {
    const far = connect(targetPort, '127.0.0.1');
    const isSilent = (): boolean => silent.has(near);
    [near, far].forEach((socket) => sockets.add(socket));
    pass(near, far, isSilent);
    pass(far, near, isSilent);
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
