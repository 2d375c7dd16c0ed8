import type { Clock, Milliseconds } from '../../core/clock/mod.ts';
import type { Trait } from '../../core/quarantine/mod.ts';
import type { BackendServer } from '../../core/serving/mod.ts';
import type { BackendConnections, ProbeResult } from '../../proxy/mod.ts';

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
  /** When the first of its connections ended. */
  readonly at: Milliseconds;
  /** The requests that were lost with it. */
  readonly requests: readonly LostRequest[];
};

/** The connections to one server. */
export type ServerConnections = Pick<BackendConnections, 'hasOpenSince' | 'probe'>;

/** A connection that ended with the response that it carried. */
export type ConnectionEnd = {
  readonly server: BackendServer;
  readonly connections: ServerConnections;
  /** The request that was lost with it; `undefined` if the response may be complete. */
  readonly lost: LostRequest | undefined;
  /** Called once, later, with whether the server has ended. */
  readonly onJudged: (hasEnded: boolean) => void;
};

/** Options of `ServerEnds`. */
export type ServerEndsOptions = {
  readonly clock: Clock;
  /** Called with each end of a server with which requests were lost. */
  readonly onEnd: (end: ServerEnd) => void;
};

/** Time within which the connections of a server that has ended close. */
const SETTLE_MS: Milliseconds = 30;

type UnjudgedEnd = ConnectionEnd & {
  readonly at: Milliseconds;
  /** Whether the other connections have had time to close. */
  isDue: boolean;
};

/** The ends of connections to one server that are not judged yet. */
type UnjudgedEnds = { ends: readonly UnjudgedEnd[]; isProbing: boolean };

/**
 * Whether the server of a connection has ended, by what a probe found. A server that does not answer has lost requests,
 * while a regular end shows that it was there a moment ago.
 */
const VERDICTS: Readonly<Record<ProbeResult, (end: ConnectionEnd) => boolean>> = {
  accepts: () => false,
  refuses: () => true,
  unknown: ({ lost }) => lost !== undefined,
};

/**
 * Detects that a server has ended: all its connections end, and it accepts no new one.
 *
 * A response without a length ends with its connection also if its server has ended, so only this tells whether it is complete.
 */
export class ServerEnds {
  readonly #options: ServerEndsOptions;

  readonly #unjudged = new Map<ServerConnections, UnjudgedEnds>();

  constructor(options: ServerEndsOptions) {
    this.#options = options;
  }

  /** Records that a connection ended with the response that it carried. */
  noteConnectionEnd(connectionEnd: ConnectionEnd): void {
    const { clock } = this.#options;
    const { connections } = connectionEnd;
    const end: UnjudgedEnd = { ...connectionEnd, at: clock.now(), isDue: false };
    const unjudged = this.#unjudged.get(connections) ?? { ends: [], isProbing: false };
    unjudged.ends = [...unjudged.ends, end];
    this.#unjudged.set(connections, unjudged);
    clock.schedule(SETTLE_MS, () => this.#settle(end, unjudged));
  }

  #settle(end: UnjudgedEnd, unjudged: UnjudgedEnds): void {
    end.isDue = true;
    if (!unjudged.ends.includes(end)) return;
    if (end.connections.hasOpenSince(end.at)) {
      this.#judge(unjudged, [end], () => false);
      return;
    }
    // Settled once the probe in progress has its result.
    if (unjudged.isProbing) return;
    unjudged.isProbing = true;
    const due = unjudged.ends.filter(({ isDue }) => isDue);
    end.connections.probe((result) => {
      unjudged.isProbing = false;
      // That a server accepted a connection tells nothing of those that ended just before it.
      this.#judge(unjudged, result === 'refuses' ? unjudged.ends : due, VERDICTS[result]);
      const next = unjudged.ends.find(({ isDue }) => isDue);
      if (next !== undefined) this.#settle(next, unjudged);
    });
  }

  #judge(
    unjudged: UnjudgedEnds,
    judged: readonly UnjudgedEnd[],
    hasEnded: (end: ConnectionEnd) => boolean,
  ): void {
    unjudged.ends = unjudged.ends.filter((end) => !judged.includes(end));
    const [first] = judged;
    if (first === undefined) return;
    if (unjudged.ends.length === 0) this.#unjudged.delete(first.connections);
    const { server, at } = first;
    const requests = judged.filter(hasEnded).flatMap(({ lost }) => lost ?? []);
    if (requests.length > 0) this.#options.onEnd({ server, at, requests });
    judged.forEach((end) => end.onJudged(hasEnded(end)));
  }
}
