/** Weight of the newest response in the mean length of a class. */
const LENGTH_WEIGHT = 0.02;

/** Output tokens assumed for a class without responses, if the request declares nothing. */
const INITIAL_TOKENS = 128;

/** What a request declares of its output. */
export type DeclaredOutput = {
  /** The caller's estimate; right at the median, often far off. */
  readonly expectedTokens?: number | undefined;
  readonly maxTokens?: number | undefined;
};

/** Expects output lengths by what requests declare and by the mean of their class. */
export class OutputLengths {
  readonly #means = new Map<string, number>();

  /** Returns the expected number of output tokens of a request of a class, such as a route. */
  expected(name: string, { expectedTokens, maxTokens }: DeclaredOutput): number {
    const mean = this.#means.get(name);
    const tokens =
      mean === undefined || expectedTokens === undefined
        ? (expectedTokens ?? mean ?? INITIAL_TOKENS)
        : (mean + expectedTokens) / 2;
    return Math.min(tokens, maxTokens ?? Infinity);
  }

  /** Records the length of a complete response. */
  note(name: string, tokens: number): void {
    const mean = this.#means.get(name) ?? tokens;
    this.#means.set(name, mean + (tokens - mean) * LENGTH_WEIGHT);
  }
}
