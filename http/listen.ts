import type { Server, IncomingMessage, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { CallerLimiter } from './callerLimiter.ts';
import type { RequestIntake } from './requestIntake.ts';

/** The address that an HTTP server listens on. */
export type HttpAddress = { readonly ip: string; readonly port: number };

/** A listening HTTP server. */
export type HttpListener = {
  readonly port: number;
  /** Stops accepting connections and waits for open requests to finish. */
  readonly close: () => Promise<void>;
  /** Stops accepting connections and closes the open ones, aborting their requests. */
  readonly abort: () => Promise<void>;
};

/** Handles one request. */
export type HttpHandler = (request: IncomingMessage, response: ServerResponse) => void;

function boundPort(server: Server): number {
  const bound = server.address();
  return typeof bound === 'object' && bound !== null ? bound.port : 0;
}

/**
 * Starts an HTTP server.
 *
 * @param address The address to listen on; port 0 picks a free port.
 * @param handler Called for each request.
 * @param intake Observes the connections, for a handler that adds its requests to it.
 * @param limiter Bounds what callers make the process hold and do.
 */
export async function listenHttp(
  address: HttpAddress,
  handler: HttpHandler,
  intake?: RequestIntake,
  limiter?: CallerLimiter,
): Promise<HttpListener> {
  const server = createServer(handler);
  intake?.observe(server);
  limiter?.observe(server);
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
    port: boundPort(server),
    close: () => stop(() => server.closeIdleConnections()),
    abort: () => stop(() => server.closeAllConnections()),
  };
}
