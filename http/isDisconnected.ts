import type { Socket } from 'node:net';

/**
 * Whether the kernel has dropped the connection of a socket that is still open here. Call it at the `end` event: then the other
 * end has reset it, and has not just closed its sending side.
 *
 * Node.js emits `end` instead of `error` for a reset that it reads together with bytes. It caches the address once it is known,
 * so nothing else may ask for it.
 */
export function isDisconnected(socket: Socket): boolean {
  return !socket.destroyed && socket.remoteAddress === undefined;
}
