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
  | 'paused';

/** Options of `ServerAccess`. */
export type ServerAccessOptions = {
  readonly clock: Clock;
  readonly notices: Pick<NoticeRegistry, 'isLeaving' | 'pauseLeftMs'>;
};

/** The servers that a request may be sent to, and what keeps it from the others. */
export type AccessibleServers = {
  readonly open: readonly ServerView[];
  /** How many servers are passed over, by reason. */
  readonly blocks: ReadonlyMap<ServerBlock, number>;
  /** Shortest time until a paused server may be sent a request; `undefined` if none is paused. */
  readonly pauseLeftMs: Milliseconds | undefined;
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
  blockOf(view: ServerView): ServerBlock | undefined {
    const { clock, notices } = this.#options;
    if (!view.isReady) return 'draining';
    if (notices.isLeaving(view.server)) return 'leaving';
    return notices.pauseLeftMs(view.server, clock.now()) > 0 ? 'paused' : undefined;
  }

  /** Returns the servers that may be sent a request now, and why the others may not. */
  select(views: readonly ServerView[]): AccessibleServers {
    const { clock, notices } = this.#options;
    const open: ServerView[] = [];
    const blocks = new Map<ServerBlock, number>();
    let pauseLeftMs: Milliseconds | undefined;
    views.forEach((view) => {
      const block = this.blockOf(view);
      if (block === undefined) open.push(view);
      else blocks.set(block, (blocks.get(block) ?? 0) + 1);
      if (block !== 'paused') return;
      const leftMs = notices.pauseLeftMs(view.server, clock.now());
      pauseLeftMs = Math.min(pauseLeftMs ?? Infinity, leftMs);
    });
    return { open, blocks, pauseLeftMs };
  }
}
