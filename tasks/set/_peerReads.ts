import type { Cancellation, Clock, Milliseconds } from '../../core/clock/mod.ts';
import type { SetFrame } from '../../core/link/mod.ts';

type Pending = {
  readonly resolve: (text: string | undefined) => void;
  readonly reject: (error: Error) => void;
  readonly cancel: Cancellation;
};

/** How to build `PeerReads`. */
export type PeerReadsOptions = {
  readonly clock: Clock;
  readonly send: (peer: string, frame: SetFrame) => void;
  /** Time for a peer to answer. @default 3000 */
  readonly answerWithinMs?: Milliseconds;
};

/** Reads values of the set from peers over links. */
export class PeerReads {
  readonly #options: PeerReadsOptions;

  readonly #pending = new Map<string, Pending[]>();

  constructor(options: PeerReadsOptions) {
    this.#options = options;
  }

  /** Reads a value; rejects when the peer does not answer in time. */
  read(peer: string, name: string): Promise<string | undefined> {
    const { answerWithinMs = 3000, clock, send } = this.#options;
    const key = `${peer} ${name}`;
    return new Promise((resolve, reject) => {
      const cancel = clock.schedule(answerWithinMs, () => this.#fail(key, `${peer} is silent`));
      const waiting = this.#pending.get(key) ?? [];
      this.#pending.set(key, [...waiting, { resolve, reject, cancel }]);
      if (waiting.length === 0) send(peer, { kind: 'set-read', name });
    });
  }

  /** Takes a peer's answer. */
  answered(peer: string, name: string, text: string | undefined): void {
    this.#take(`${peer} ${name}`).forEach(({ resolve }) => resolve(text));
  }

  /** Ends all reads from a peer whose link is lost. */
  gone(peer: string): void {
    [...this.#pending.keys()]
      .filter((key) => key.startsWith(`${peer} `))
      .forEach((key) => this.#fail(key, `the link to ${peer} is lost`));
  }

  #fail(key: string, reason: string): void {
    this.#take(key).forEach(({ reject }) => reject(new Error(`${reason}; another peer is asked`)));
  }

  #take(key: string): readonly Pending[] {
    const waiting = this.#pending.get(key) ?? [];
    this.#pending.delete(key);
    waiting.forEach(({ cancel }) => cancel());
    return waiting;
  }
}
