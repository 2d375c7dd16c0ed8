import type { Clock, Milliseconds } from '../../core/clock/mod.ts';
import type { Trait } from '../../core/quarantine/mod.ts';
import type { BackendServer } from '../../core/serving/mod.ts';

/** A request whose connection to its server was lost. */
export type LostRequest = {
  readonly requestId: string;
  readonly route: string;
  readonly adapter: string | undefined;
  /** Ids of the parts of its prompt. */
  readonly promptParts: readonly string[];
  readonly traits: readonly Trait[];
  /** What it shares only with the same request that comes again. */
  readonly requestTrait: Trait;
  /** Time since the request was sent. */
  readonly sentMs: Milliseconds;
  /** Time since the first byte of the response body; `undefined` if there was none. */
  readonly writingMs: Milliseconds | undefined;
};

/** The end of a server, as one entry saw it. */
export type ServerEnd = {
  readonly server: BackendServer;
  /** When the first of its connections was lost. */
  readonly at: Milliseconds;
  /** The requests that were lost with it. */
  readonly requests: readonly LostRequest[];
};

/** Options of `ServerEnds`. */
export type ServerEndsOptions = {
  readonly clock: Clock;
  /** Whether a connection to the server that was opened before a point in time is still open. */
  readonly hasOpenSince: (server: BackendServer, time: Milliseconds) => boolean;
  /** Called with each end of a server. */
  readonly onEnd: (end: ServerEnd) => void;
};

/** Time within which the connections of a server that has ended close. */
export const SETTLE_MS: Milliseconds = 30;

/** Detects that a server has ended: all connections to it are lost while requests wait for responses. */
export class ServerEnds {
  readonly #options: ServerEndsOptions;

  /** Requests lost lately at servers that are not judged yet, by server id. */
  readonly #lost = new Map<
    string,
    { readonly at: Milliseconds; readonly requests: LostRequest[] }
  >();

  constructor(options: ServerEndsOptions) {
    this.#options = options;
  }

  /** Records that the connection of a request was lost before its response was complete. */
  noteLost(server: BackendServer, request: LostRequest): void {
    const known = this.#lost.get(server.id);
    if (known !== undefined) {
      known.requests.push(request);
      return;
    }
    const at = this.#options.clock.now();
    this.#lost.set(server.id, { at, requests: [request] });
    this.#options.clock.schedule(SETTLE_MS, () => this.#judge(server));
  }

  #judge(server: BackendServer): void {
    const lost = this.#lost.get(server.id);
    this.#lost.delete(server.id);
    if (lost === undefined || this.#options.hasOpenSince(server, lost.at)) return;
    this.#options.onEnd({ server, ...lost });
  }
}
