import { connect } from 'node:net';
import type { Milliseconds } from '../core/clock/mod.ts';
import { readFirstClock } from '../transport/mod.ts';

/** Options of `probeServer`. */
export type ServerProbeOptions = {
  /** IP address and port. */
  readonly address: string;
  /** Time after which a server that has not answered counts as not listening. @default 200 */
  readonly timeoutMs?: Milliseconds;
};

/** Finds out whether a server accepts connections; `onResult` is called once, later. */
export function probeServer(
  { address, timeoutMs = 200 }: ServerProbeOptions,
  onResult: (isListening: boolean) => void,
): void {
  const [host = '', port = ''] = address.split(':');
  const socket = connect(Number(port), host);
  let isListening = false;
  const cancelTimeout = readFirstClock.schedule(timeoutMs, () => socket.destroy());
  socket.once('connect', () => {
    isListening = true;
    socket.destroy();
  });
  // The `close` event follows.
  socket.on('error', () => undefined);
  socket.once('close', () => {
    cancelTimeout();
    onResult(isListening);
  });
}
