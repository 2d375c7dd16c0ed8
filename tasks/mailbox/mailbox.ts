import PQueue from 'p-queue';

/** Options of a `Mailbox`. */
export type MailboxOptions<M> = {
  /** Handles one message; never called concurrently. */
  readonly handle: (message: M) => void;
  /** Called with an error that `handle` threw; later messages are still handled. */
  readonly onError: (error: unknown) => void;
};

/** A message queue of a task; messages are handled one at a time in FIFO order. */
export class Mailbox<M> {
  readonly #queue = new PQueue({ concurrency: 1 });

  readonly #options: MailboxOptions<M>;

  #waiting: M[] = [];

  #closed = false;

  constructor(options: MailboxOptions<M>) {
    this.#options = options;
  }

  /** Number of queued messages. */
  get size(): number {
    return this.#waiting.length;
  }

  /** Enqueues a message; does nothing once the mailbox is closed. */
  post(message: M): void {
    if (this.#closed) return;
    this.#waiting.push(message);
    if (this.#waiting.length > 1) return;
    this.#queue
      .add(() => this.#handleWaiting())
      .catch((error: unknown) => this.#options.onError(error));
  }

  /** Drops all queued messages and ignores later ones. */
  close(): void {
    this.#closed = true;
    this.#waiting = [];
    this.#queue.clear();
  }

  /** Handles all queued messages in one job, which costs less than one job per message. */
  #handleWaiting(): void {
    const messages = this.#waiting;
    this.#waiting = [];
    for (const message of messages) {
      if (this.#closed) return;
      this.#handleOne(message);
    }
  }

  #handleOne(message: M): void {
    try {
      this.#options.handle(message);
    } catch (error) {
      this.#options.onError(error);
    }
  }
}
