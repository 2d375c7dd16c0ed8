import type { Cancellation, Clock, Milliseconds } from '../../core/clock/mod.ts';
import type { SetFrame } from '../../core/link/mod.ts';

type PendingRead = {
  readonly resolve: (text: string | undefined) => void;
  readonly reject: (error: Error) => void;
  readonly cancel: Cancellation;
};

/** Options of `PeerReads`. */
export type PeerReadsOptions = {
  readonly clock: Clock;
  readonly send: (peer: string, frame: SetFrame) => void;
  /** Timeout of a read. @default 3000 */
  readonly replyTimeoutMs?: Milliseconds;
};

/** Reads values of the set from peers over links; concurrent reads of a value share one request. */
export class PeerReads {
  readonly #options: PeerReadsOptions;

  readonly #pending = new Map<string, PendingRead[]>();

  constructor(options: PeerReadsOptions) {
    this.#options = options;
  }

  /** Reads a value from a peer; rejects on timeout or when the link is lost. */
  read(peer: string, name: string): Promise<string | undefined> {
    const { replyTimeoutMs = 3000, clock, send } = this.#options;
    const key = `${peer} ${name}`;
    return new Promise((resolve, reject) => {
      const cancel = clock.schedule(replyTimeoutMs, () =>
        this.#fail(key, `${peer} did not reply in time`),
      );
      const waiting = this.#pending.get(key) ?? [];
      this.#pending.set(key, [...waiting, { resolve, reject, cancel }]);
      if (waiting.length === 0) send(peer, { kind: 'set-read', name });
    });
  }

  /** Resolves the pending reads of a value with the peer's reply. */
  complete(peer: string, name: string, text: string | undefined): void {
    this.#removePending(`${peer} ${name}`).forEach(({ resolve }) => resolve(text));
  }

  /** Rejects all pending reads from a peer whose link is lost. */
  disconnected(peer: string): void {
    [...this.#pending.keys()]
      .filter((key) => key.startsWith(`${peer} `))
      .forEach((key) => this.#fail(key, `the link to ${peer} was lost`));
  }

  #fail(key: string, reason: string): void {
    this.#removePending(key).forEach(({ reject }) =>
      reject(new Error(`${reason}; another peer is tried`)),
    );
  }

  #removePending(key: string): readonly PendingRead[] {
    const waiting = this.#pending.get(key) ?? [];
    this.#pending.delete(key);
    waiting.forEach(({ cancel }) => cancel());
    return waiting;
  }
}
