import type { Clock, Milliseconds } from '../../core/clock/mod.ts';
import type { ServerView } from '../../core/dispatch/mod.ts';
import type { NoticeRegistry } from '../../core/serverNotices/mod.ts';

/** Why a server must not be sent a request now. */
export type ServerBlock =
  /** Its record says that it drains. */
  | 'draining'
  /** It has said that it leaves, to this entry or to another. */
  | 'leaving'
  /** It has asked for a pause, or one request tests whether it takes requests again. */
  | 'paused'
  /** It has another software version than the server that began the stream. */
  | 'version'
  /** It has failed or refused this request. */
  | 'tried';

/** Options of `ServerAccess`. */
export type ServerAccessOptions = {
  readonly clock: Clock;
  readonly notices: Pick<NoticeRegistry, 'isLeaving' | 'pauseLeftMs'>;
};

/** A request that is to be sent. */
type Sendable = {
  /** Software version that it needs, if it continues a stream. */
  readonly streamVersion?: string | undefined;
  /** Servers that failed or refused it. */
  readonly triedServerIds?: ReadonlySet<string>;
};

/** The servers that a request may be sent to, and what keeps it from the others. */
export type AccessibleServers = {
  readonly open: readonly ServerView[];
  /** How many servers are passed over, by reason. */
  readonly blocks: ReadonlyMap<ServerBlock, number>;
  /** Shortest time until a paused server may be sent a request; `undefined` if none is paused. */
  readonly pauseLeftMs: Milliseconds | undefined;
  /** Whether no server has the software version that the request needs, so that waiting is of no use. */
  readonly hasNoVersion: boolean;
};

/**
 * Decides which servers may be sent a request: asked when a server is chosen, and again when the request is
 * sent.
 */
export class ServerAccess {
  readonly #options: ServerAccessOptions;

  constructor(options: ServerAccessOptions) {
    this.#options = options;
  }

  /** Returns why a server must not be sent a request now; `undefined` if it may. */
  blockOf(
    view: ServerView,
    { streamVersion, triedServerIds }: Sendable = {},
  ): ServerBlock | undefined {
    const { clock, notices } = this.#options;
    const isOtherVersion =
      streamVersion !== undefined && view.server.softwareVersion !== streamVersion;
    if (isOtherVersion) return 'version';
    if (triedServerIds?.has(view.server.id) === true) return 'tried';
    if (!view.isReady) return 'draining';
    if (notices.isLeaving(view.server)) return 'leaving';
    return notices.pauseLeftMs(view.server, clock.now()) > 0 ? 'paused' : undefined;
  }

  /** Returns the servers that may be sent a request now, and why the others may not. */
  select(views: readonly ServerView[], request: Sendable): AccessibleServers {
    const { clock, notices } = this.#options;
    const open: ServerView[] = [];
    const blocks = new Map<ServerBlock, number>();
    let pauseLeftMs: Milliseconds | undefined;
    views.forEach((view) => {
      const block = this.blockOf(view, request);
      if (block === undefined) open.push(view);
      else blocks.set(block, (blocks.get(block) ?? 0) + 1);
      if (block !== 'paused') return;
      const leftMs = notices.pauseLeftMs(view.server, clock.now());
      pauseLeftMs = Math.min(pauseLeftMs ?? Infinity, leftMs);
    });
    const hasNoVersion = views.length > 0 && blocks.get('version') === views.length;
    return { open, blocks, pauseLeftMs, hasNoVersion };
  }
}
