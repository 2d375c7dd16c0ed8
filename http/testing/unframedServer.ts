import { once } from 'node:events';
import { createServer } from 'node:net';
import type { Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

/** How a response without a length ends. */
export type UnframedEnding = 'close' | 'reset' | 'late-reset';

/** A server that ends each connection after one response without a length. For tests only. */
export type UnframedServer = {
  readonly address: string;
  readonly close: () => void;
};

/** Time in which a client has read the last bytes, so that it reads a reset by itself. */
const LATE_MS = 10;

const ENDINGS: Readonly<Record<UnframedEnding, (socket: Socket) => void>> = {
  close: (socket) => socket.end(),
  reset: (socket) => socket.resetAndDestroy(),
  'late-reset': async (socket) => {
    await sleep(LATE_MS);
    socket.resetAndDestroy();
  },
};

/** Starts a server that responds to what it receives with a body that has no length. */
export async function startUnframedServer(
  ending: UnframedEnding,
  body: string,
): Promise<UnframedServer> {
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => {
      socket.resume();
      socket.write(`HTTP/1.1 200 OK\r\n\r\n${body}`, () => ENDINGS[ending](socket));
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const bound = server.address();
  const port = typeof bound === 'object' && bound !== null ? bound.port : 0;
  return { address: `127.0.0.1:${port}`, close: () => server.close() };
}
