import type { Clock, Milliseconds } from '../../core/clock/mod.ts';
import type { Trait } from '../../core/quarantine/mod.ts';
import type { BackendServer } from '../../core/serving/mod.ts';

/** A request whose connection to its server has ended. */
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
  /** Finds out whether the server accepts connections; `onResult` is called once, later. */
  readonly probe: (server: BackendServer, onResult: (isListening: boolean) => void) => void;
  /** Called with each end of a server. */
  readonly onEnd: (end: ServerEnd) => void;
};

/** Time within which the connections of a server that has ended close. */
const SETTLE_MS: Milliseconds = 30;

/** A connection that ended with the response that it carried. */
type ConnectionEnd = {
  readonly at: Milliseconds;
  readonly request: LostRequest;
  /** Called with whether the server has ended. */
  readonly onJudged: (hasEnded: boolean) => void;
};

/**
 * Detects that a server has ended: all its connections end, and it accepts no new one.
 *
 * A response without a length ends with its connection also if its server has ended, so only this tells whether it is complete.
 */
export class ServerEnds {
  readonly #options: ServerEndsOptions;

  /** Connections that ended lately and are not judged yet, by server id. */
  readonly #unjudged = new Map<string, ConnectionEnd[]>();

  constructor(options: ServerEndsOptions) {
    this.#options = options;
  }

  /**
   * Records that a connection ended with the response that it carried, complete or not.
   *
   * @param onJudged Called once, later, with whether the server has ended.
   */
  noteConnectionEnd(
    server: BackendServer,
    request: LostRequest,
    onJudged: (hasEnded: boolean) => void,
  ): void {
    const { clock } = this.#options;
    const end: ConnectionEnd = { at: clock.now(), request, onJudged };
    const unjudged = this.#unjudged.get(server.id);
    if (unjudged === undefined) this.#unjudged.set(server.id, [end]);
    else unjudged.push(end);
    clock.schedule(SETTLE_MS, () => this.#settle(server, end));
  }

  /** Judges a connection end by itself if others are open, else together with all later ones. */
  #settle(server: BackendServer, end: ConnectionEnd): void {
    const { hasOpenSince, probe } = this.#options;
    const unjudged = this.#unjudged.get(server.id) ?? [];
    if (!unjudged.includes(end)) return;
    if (hasOpenSince(server, end.at)) {
      const rest = unjudged.filter((each) => each !== end);
      if (rest.length > 0) this.#unjudged.set(server.id, rest);
      else this.#unjudged.delete(server.id);
      end.onJudged(false);
      return;
    }
    this.#unjudged.delete(server.id);
    probe(server, (isListening) => this.#judge(server, unjudged, !isListening));
  }

  #judge(server: BackendServer, ends: readonly ConnectionEnd[], hasEnded: boolean): void {
    const [first] = ends;
    if (hasEnded && first !== undefined) {
      const requests = ends.map(({ request }) => request);
      this.#options.onEnd({ server, at: first.at, requests });
    }
    ends.forEach(({ onJudged }) => onJudged(hasEnded));
  }
}
