import { z } from 'zod';
import type { CompletionRequest } from '../tasks/entry/mod.ts';

/** A completion request as a caller wrote it. */
export type CompletionBody = {
  readonly request: CompletionRequest;
  readonly stream: boolean;
};

/** The outcome of reading a completion's body. */
export type CompletionReading =
  | { readonly kind: 'completion'; readonly body: CompletionBody }
  | { readonly kind: 'wrong'; readonly detail: string };

/** The forms of completion that callers may ask for. */
export type CompletionForm = 'text' | 'chat';

const DEFAULT_MAX_TOKENS = 64;
const MOST_TOKENS = 32_768;

const common = {
  model: z.string().min(1),
  max_tokens: z.int().min(1).max(MOST_TOKENS).default(DEFAULT_MAX_TOKENS),
  priority: z.int().min(0).max(9).default(0),
  stream: z.boolean().default(false),
};

const schemas = {
  text: z.looseObject({ ...common, prompt: z.string() }),
  chat: z
    .looseObject({
      ...common,
      messages: z.array(z.looseObject({ role: z.string(), content: z.string() })).min(1),
    })
    .transform(({ messages, ...rest }) => ({
      ...rest,
      prompt: messages.map(({ role, content }) => `${role}: ${content}`).join('\n'),
    })),
} as const;

/**
 * Reads the body of a completion request.
 *
 * @param form Which interface the caller used.
 * @param text The body.
 */
export function readCompletionBody(form: CompletionForm, text: string): CompletionReading {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch {
    return { kind: 'wrong', detail: 'the body is not JSON; send a JSON object' };
  }
  const result = schemas[form].safeParse(value);
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
