import type { SocketAddress } from '../../platform/mod.ts';

/** Splits `ip:port`. */
export function splitAddress(address: SocketAddress): {
  readonly ip: string;
  readonly port: number;
} {
  const colon = address.lastIndexOf(':');
  return { ip: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
}
