/** What the work of a request depends on. */
export type WorkInputs = {
  readonly promptTokens?: number | undefined;
  readonly expectedOutputTokens?: number | undefined;
  readonly maxOutputTokens?: number | undefined;
  /** Tokens that a request without declared tokens counts as. */
  readonly defaultTokens?: number | undefined;
};

/**
 * Output tokens that take as much of a server as one prompt token: at 48 slots and 5.2 ms a step, an output
 * token takes 0.11 ms of the batch, and at 38 prompt tokens a ms a prompt token takes 0.026 ms.
 */
const PROMPT_TOKEN_WORK = 0.25;

/** Output tokens assumed for a request that declares none. */
const DEFAULT_OUTPUT_TOKENS = 100;

/** Returns the output tokens that a request is expected to take. */
export function expectedOutputTokens(inputs: WorkInputs): number {
  return (
    inputs.expectedOutputTokens ??
    inputs.maxOutputTokens ??
    inputs.defaultTokens ??
    DEFAULT_OUTPUT_TOKENS
  );
}

/** Returns the work of a request, in output tokens; at least 1. */
export function workOf(inputs: WorkInputs): number {
  return Math.max(1, expectedOutputTokens(inputs) + (inputs.promptTokens ?? 0) * PROMPT_TOKEN_WORK);
}
