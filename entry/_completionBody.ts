import { z } from 'zod';
import type { CompletionRequest } from '../tasks/entry/mod.ts';

/** A completion request parsed from a request body. */
export type CompletionBody = {
  readonly request: CompletionRequest;
  readonly stream: boolean;
};

/** The result of parsing the body of a completion request. */
export type CompletionBodyResult =
  | { readonly kind: 'completion'; readonly body: CompletionBody }
  | { readonly kind: 'wrong'; readonly detail: string };

/** The completion API that a caller uses: text completions or chat completions. */
export type CompletionFormat = 'text' | 'chat';

const DEFAULT_MAX_TOKENS = 64;
const MAX_TOKENS = 32_768;

const commonFields = {
  model: z.string().min(1),
  max_tokens: z.int().min(1).max(MAX_TOKENS).default(DEFAULT_MAX_TOKENS),
  priority: z.int().min(0).max(9).default(0),
  stream: z.boolean().default(false),
};

const schemas = {
  text: z.looseObject({ ...commonFields, prompt: z.string() }),
  chat: z
    .looseObject({
      ...commonFields,
      messages: z.array(z.looseObject({ role: z.string(), content: z.string() })).min(1),
    })
    .transform(({ messages, ...rest }) => ({
      ...rest,
      prompt: messages.map(({ role, content }) => `${role}: ${content}`).join('\n'),
    })),
} as const;

/**
 * Parses the body of a completion request.
 *
 * @param format The API that the caller uses.
 * @param text The body.
 */
export function parseCompletionBody(format: CompletionFormat, text: string): CompletionBodyResult {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch {
    return { kind: 'wrong', detail: 'the body is not JSON; send a JSON object' };
  }
  const result = schemas[format].safeParse(value);
  if (!result.success) {
    const issue = result.error.issues[0]!;
    const path = issue.path.join('.') || 'body';
    return { kind: 'wrong', detail: `"${path}": ${issue.message}; see docs/API.md` };
  }
  const { model, prompt, max_tokens: maxTokens, priority, stream } = result.data;
  return {
    kind: 'completion',
    body: { request: { kind: 'completion', model, prompt, maxTokens, priority }, stream },
  };
}
