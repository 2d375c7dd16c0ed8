import type { Server, IncomingMessage, ServerResponse } from 'node:http';
import { createServer } from 'node:http';

/** Where an HTTP server listens. */
export type HttpAddress = { readonly ip: string; readonly port: number };

/** A listening HTTP server. */
export type HttpListener = {
  readonly port: number;
  /** Takes no new connection and waits for open requests. */
  readonly close: () => Promise<void>;
  /** Breaks off open requests. */
  readonly abort: () => Promise<void>;
};

/** Handles one request. */
export type HttpHandler = (request: IncomingMessage, response: ServerResponse) => void;

function portOf(server: Server): number {
  const bound = server.address();
  return typeof bound === 'object' && bound !== null ? bound.port : 0;
}

/**
 * Starts an HTTP server.
 *
 * @param address Where to listen; port 0 takes a free one.
 * @param handler Handles each request.
 */
export async function listenHttp(
  address: HttpAddress,
  handler: HttpHandler,
): Promise<HttpListener> {
  const server = createServer(handler);
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(address.port, address.ip, () => resolve());
  });
  const stop = (disconnect: () => void): Promise<void> =>
    new Promise((resolve) => {
      server.close(() => resolve());
      disconnect();
    });
  return {
    port: portOf(server),
    close: () => stop(() => server.closeIdleConnections()),
    abort: () => stop(() => server.closeAllConnections()),
  };
}
