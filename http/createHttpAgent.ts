import type { Socket } from 'node:net';
import { Agent, buildConnector, Client, Pool } from 'undici';
import type { Dispatcher } from 'undici';
import { isDisconnected } from './isDisconnected.ts';

/** Options of `createHttpAgent`. */
export type HttpAgentOptions = {
  /** Size limit of a response body, in bytes; -1 for none. @default -1 */
  readonly maxResponseBytes?: number;
};

/** What is known of a client's current connection. */
type ConnectionState = { wasReset: boolean };

/** Returns a connector that records whether its latest socket was reset. */
function recordResets(
  connect: buildConnector.connector,
  state: ConnectionState,
): buildConnector.connector {
  const noteReset = (): void => {
    state.wasReset = true;
  };
  const observe = (socket: Socket): void => {
    state.wasReset = false;
    socket.once('error', noteReset);
    // Before undici, which completes a response without a length at this event.
    socket.prependOnceListener('end', () => {
      if (isDisconnected(socket)) noteReset();
    });
  };
  return (options, callback) => {
    connect(options, (...result) => {
      const [, socket] = result;
      if (socket) observe(socket);
      callback(...result);
    });
  };
}

/** A client that fails a response if its connection was reset before the end, whatever delimits it. */
class ResetAwareClient extends Client {
  readonly #state: ConnectionState;

  constructor(url: URL, options: Client.Options, connect: buildConnector.connector) {
    const state: ConnectionState = { wasReset: false };
    super(url, { ...options, connect: recordResets(connect, state) });
    this.#state = state;
  }

  override dispatch(
    options: Dispatcher.DispatchOptions,
    handler: Dispatcher.DispatchHandler,
  ): boolean {
    return super.dispatch(options, {
      onConnect: (abort) => handler.onConnect?.(abort),
      onHeaders: (...head) => handler.onHeaders?.(...head) ?? true,
      onData: (chunk) => handler.onData?.(chunk) ?? true,
      onComplete: (trailers) => {
        if (this.#state.wasReset) {
          handler.onError?.(new Error('the connection was reset before the response was complete'));
        } else handler.onComplete?.(trailers);
      },
      onError: (error) => handler.onError?.(error),
    });
  }
}

/**
 * Creates an agent for `request` whose responses fail if their connection is reset before their end.
 *
 * undici itself completes a response without a length at a reset.
 */
export function createHttpAgent(options: HttpAgentOptions = {}): Agent {
  const { maxResponseBytes = -1 } = options;
  const connect = buildConnector({});
  return new Agent({
    factory: (origin) =>
      new Pool(origin, {
        maxResponseSize: maxResponseBytes,
        factory: (url, clientOptions) => new ResetAwareClient(url, clientOptions, connect),
      }),
  });
}
