import { connect } from 'node:net';
import type { Milliseconds } from '../core/clock/mod.ts';
import { readFirstClock } from '../transport/mod.ts';

/** Whether a server accepts connections; `unknown` if nothing tells. */
export type ProbeResult = 'accepts' | 'refuses' | 'unknown';

/** Options of `probeServer`. */
export type ServerProbeOptions = {
  /** IP address and port. */
  readonly address: string;
  /** Time after which a server that has not answered is left unknown. @default 200 */
  readonly timeoutMs?: Milliseconds;
  /** Number of attempts while connections are reset. @default 3 */
  readonly maxAttempts?: number;
};

/** Time between two attempts. */
const ATTEMPT_INTERVAL_MS: Milliseconds = 10;

type ConnectError = Error & { readonly code?: string };

/** What a failed attempt tells, by the code of its error. */
const RESULTS: Readonly<Record<string, ProbeResult | 'reset'>> = {
  ECONNREFUSED: 'refuses',
  ECONNRESET: 'reset',
};

/** Finds out whether a server accepts connections; `onResult` is called once, later. */
export function probeServer(
  options: ServerProbeOptions,
  onResult: (result: ProbeResult) => void,
): void {
  const { address, timeoutMs = 200, maxAttempts = 3 } = options;
  const [host = '', port = ''] = address.split(':');
  const socket = connect(Number(port), host);
  let result: ProbeResult | 'reset' = 'unknown';
  const cancelTimeout = readFirstClock.schedule(timeoutMs, () => socket.destroy());
  socket.once('connect', () => {
    result = 'accepts';
    socket.destroy();
  });
  // The `close` event follows.
  socket.on('error', ({ code = '' }: ConnectError) => {
    if (result === 'unknown') result = RESULTS[code] ?? 'unknown';
  });
  socket.once('close', () => {
    cancelTimeout();
    if (result !== 'reset') onResult(result);
    // A server that ends resets what waits in its listen queue once; one at its connection limit goes on to do so.
    else if (maxAttempts <= 1) onResult('accepts');
    else {
      readFirstClock.schedule(ATTEMPT_INTERVAL_MS, () =>
        probeServer({ ...options, maxAttempts: maxAttempts - 1 }, onResult),
      );
    }
  });
}
