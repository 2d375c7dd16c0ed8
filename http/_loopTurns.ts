import type { Cancellation, Milliseconds } from '../core/clock/mod.ts';

/** A turn of the event loop that has ended. */
export type LoopTurn = {
  /** Time since the first event of the turn. */
  readonly tookMs: Milliseconds;
  readonly hasAccepted: boolean;
};

/** Options of `LoopTurns`. */
export type LoopTurnsOptions = {
  /** Called at the end of each observed turn. */
  readonly onTurn?: (turn: LoopTurn) => void;
  /** Whether the next turn must be observed although no event is known yet. @default never */
  readonly hasWork?: () => boolean;
  /** Age up to which the last read of the sockets is recent. @default 200 */
  readonly maxReadAgeMs?: Milliseconds;
};

/** Tells how long ago the sockets were read, and so what may have arrived that is not known yet. */
export type SocketReads = {
  /** When the sockets were last read: all that had arrived by then has been handled. */
  readonly readAt: Milliseconds;
  /** Whether the sockets were read a moment ago. */
  readonly isRecent: boolean;
  /** Calls `run` as soon as the sockets were read a moment ago; at once if that is so. */
  readonly afterRead: (run: () => void) => Cancellation;
};

/**
 * Observes the turns of the event loop in which sockets had events.
 *
 * The event loop accepts one connection per turn, so a run of turns that each accepted one shows
 * that connections wait in the listen queue of the kernel.
 */
export class LoopTurns implements SocketReads {
  readonly #onTurn: (turn: LoopTurn) => void;

  readonly #hasWork: () => boolean;

  readonly #maxReadAgeMs: Milliseconds;

  /** Calls that wait for a recent read. */
  readonly #awaitingRead = new Set<() => void>();

  #immediate: NodeJS.Immediate | undefined;

  #beganAt: Milliseconds = 0;

  /** Whether the current turn is observed from its beginning, and not only from its first event. */
  #isWhole = false;

  #readAt: Milliseconds = -Infinity;

  #hasAccepted = false;

  #lastTurnMs: Milliseconds = 0;

  #acceptRun = 0;

  constructor({
    onTurn = () => undefined,
    hasWork = () => false,
    maxReadAgeMs = 200,
  }: LoopTurnsOptions = {}) {
    this.#onTurn = onTurn;
    this.#hasWork = hasWork;
    this.#maxReadAgeMs = maxReadAgeMs;
  }

  /** Time that the last observed turn took. */
  get lastTurnMs(): Milliseconds {
    return this.#lastTurnMs;
  }

  /** Number of turns in a row, up to the last one, in which a connection was accepted. */
  get acceptRun(): number {
    return this.#acceptRun;
  }

  /**
   * When the sockets were last read: all that had arrived by then has been handled. `-Infinity` while no
   * turn has been observed from its beginning.
   */
  get readAt(): Milliseconds {
    return this.#readAt;
  }

  /** Whether the sockets were read a moment ago. */
  get isRecent(): boolean {
    return performance.now() - this.#readAt <= this.#maxReadAgeMs;
  }

  /**
   * Calls `run` as soon as the sockets were read a moment ago; at once if that is so. Long turns are
   * waited out.
   */
  afterRead(run: () => void): Cancellation {
    this.noteEvent();
    if (this.isRecent) {
      run();
      return () => undefined;
    }
    // A function of its own, as the same one may be passed twice.
    const call = (): void => run();
    this.#awaitingRead.add(call);
    return () => this.#awaitingRead.delete(call);
  }

  /** Records that a connection was accepted. */
  noteAccepted(): void {
    this.#hasAccepted = true;
    this.noteEvent();
  }

  /** Records any other event of a socket. */
  noteEvent(): void {
    if (this.#immediate === undefined) this.#observe(false);
  }

  /** Stops the observation. */
  close(): void {
    clearImmediate(this.#immediate);
  }

  #observe(isWhole: boolean): void {
    this.#isWhole = isWhole;
    this.#beganAt = performance.now();
    this.#immediate = setImmediate(() => this.#endTurn());
  }

  #endTurn(): void {
    this.#immediate = undefined;
    this.#lastTurnMs = performance.now() - this.#beganAt;
    if (this.#isWhole) this.#readAt = this.#beganAt;
    const hasAccepted = this.#hasAccepted;
    this.#acceptRun = hasAccepted ? this.#acceptRun + 1 : 0;
    this.#hasAccepted = false;
    // A row of accepting turns ends with the first turn without an accepted connection. What is done now may
    // depend on the reads of the next turn.
    const mustGoOn = this.#acceptRun > 0 || this.#awaitingRead.size > 0 || this.#hasWork();
    if (mustGoOn) this.#observe(true);
    this.#onTurn({ tookMs: this.#lastTurnMs, hasAccepted });
    this.#runAwaitingRead();
    if (!mustGoOn && (this.#awaitingRead.size > 0 || this.#hasWork())) this.#observe(true);
  }

  /** Runs the calls that wait for a recent read, until the read is no longer recent. */
  #runAwaitingRead(): void {
    for (const call of [...this.#awaitingRead]) {
      if (!this.isRecent) return;
      if (this.#awaitingRead.delete(call)) call();
    }
  }
}
