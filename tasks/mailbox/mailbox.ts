import PQueue from 'p-queue';

/** How to build a `Mailbox`. */
export type MailboxOptions<M> = {
  /** Handles one message; no two messages are handled at the same time. */
  readonly handle: (message: M) => void;
  /** Told of an error that a handler threw; the next message is handled all the same. */
  readonly onError: (error: unknown) => void;
};

/** A task's queue of messages, handled one at a time in the order in which they were posted. */
export class Mailbox<M> {
  readonly #queue = new PQueue({ concurrency: 1 });

  readonly #options: MailboxOptions<M>;

  #waiting: M[] = [];

  #closed = false;

  constructor(options: MailboxOptions<M>) {
    this.#options = options;
  }

  /** Messages that wait. */
  get size(): number {
    return this.#waiting.length;
  }

  /** Adds a message; does nothing once the mailbox is closed. */
  post(message: M): void {
    if (this.#closed) return;
    this.#waiting.push(message);
    if (this.#waiting.length > 1) return;
    this.#queue
      .add(() => this.#handleWaiting())
      .catch((error: unknown) => this.#options.onError(error));
  }

  /** Drops all waiting messages and every later one. */
  close(): void {
    this.#closed = true;
    this.#waiting = [];
    this.#queue.clear();
  }

  /** Handles the messages that wait now in one job of the queue, which costs less than one each. */
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
