/** What one or more entries have sent to a server and is not done. */
export type WorkSummary = {
  /** Requests that have not ended. */
  readonly requests: number;
  /** Prompt tokens of the requests whose first event has not arrived. */
  readonly promptTokens: number;
  /** Output tokens that are still expected. */
  readonly outputTokens: number;
  /** Prompt tokens of all requests since the start whose first event has arrived. */
  readonly prefilledTokens: number;
};

/** A summary of no work. */
export const NO_WORK: WorkSummary = {
  requests: 0,
  promptTokens: 0,
  outputTokens: 0,
  prefilledTokens: 0,
};

/** A request that was sent to a server. */
export type SentWork = {
  /** Prompt tokens to be prefilled. */
  readonly promptTokens: number;
  /** Output tokens that are still expected. */
  outputTokens: number;
  /** Whether an event has arrived. */
  isPrefilled: boolean;
  /** Output tokens that have arrived. */
  receivedTokens: number;
};

/** What one entry has sent to one server and is not done. */
export class WorkAtServer {
  #requests = 0;

  #promptTokens = 0;

  #outputTokens = 0;

  #prefilledTokens = 0;

  /** The work as of now. */
  get summary(): WorkSummary {
    return {
      requests: this.#requests,
      promptTokens: this.#promptTokens,
      // Expected lengths are fractions; sums of them may fall just below 0.
      outputTokens: Math.max(0, Math.round(this.#outputTokens)),
      prefilledTokens: this.#prefilledTokens,
    };
  }

  /** Records a request that is sent. */
  noteSent(promptTokens: number, outputTokens: number): SentWork {
    this.#requests += 1;
    this.#promptTokens += promptTokens;
    this.#outputTokens += outputTokens;
    return { promptTokens, outputTokens, isPrefilled: false, receivedTokens: 0 };
  }

  /** Records output tokens that have arrived; the first ones show that the prefill is done. */
  noteOutput(work: SentWork, tokens: number): void {
    if (!work.isPrefilled) {
      work.isPrefilled = true;
      this.#promptTokens -= work.promptTokens;
      this.#prefilledTokens += work.promptTokens;
    }
    work.receivedTokens += tokens;
    const doneTokens = Math.min(tokens, work.outputTokens);
    work.outputTokens -= doneTokens;
    this.#outputTokens -= doneTokens;
  }

  /** Records the end of a request, complete or not. */
  noteEnded(work: SentWork): void {
    this.#requests -= 1;
    this.#outputTokens -= work.outputTokens;
    if (!work.isPrefilled) this.#promptTokens -= work.promptTokens;
  }
}
