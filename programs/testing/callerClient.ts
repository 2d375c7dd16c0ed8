import { request } from 'undici';
import { ServerSentEventParser } from '../../http/mod.ts';
import { completionText } from '../../standins/mod.ts';

/** The response to a streamed completion, as a caller received it. */
export type StreamedAnswer = {
  readonly status: number;
  readonly servedBy: string;
  readonly host: string;
  readonly requestId: string;
  readonly text: string;
  /** The last outcome that an event had; empty if none had one. */
  readonly outcome: string;
};

/** A streamed completion whose first bytes have arrived. */
export type OpenStream = { readonly host: string; readonly answer: Promise<StreamedAnswer> };

/** URL and bearer token with which a caller sends requests. */
export type CallerAddress = { readonly url: string; readonly token: string };

type Chunk = {
  readonly choices?: readonly { readonly text: string }[];
  readonly hyssopspread?: { readonly outcome: string };
  readonly error?: { readonly outcome: string };
};

const PROMPT = 'a prompt';

const MODEL = 't/a@1';

/** Opens a streamed completion and waits for its first bytes. */
export async function openStream(caller: CallerAddress, maxTokens: number): Promise<OpenStream> {
  const response = await request(`${caller.url}/v1/completions`, {
    method: 'POST',
    headers: { authorization: `Bearer ${caller.token}` },
    body: JSON.stringify({ model: MODEL, prompt: PROMPT, max_tokens: maxTokens, stream: true }),
  });
  const host = String(response.headers['hyssopspread-host'] ?? '');
  const iterator = response.body[Symbol.asyncIterator]();
  const first = await iterator.next();
  const read = async (): Promise<StreamedAnswer> => {
    const splitter = new ServerSentEventParser();
    let text = '';
    let outcome = '';
    for (let next = first; next.done !== true; next = await iterator.next()) {
      for (const data of splitter.push(next.value as Uint8Array)) {
        const chunk = (data === '[DONE]' ? {} : JSON.parse(data)) as Chunk;
        text += chunk.choices?.map((choice) => choice.text).join('') ?? '';
        outcome = chunk.hyssopspread?.outcome ?? chunk.error?.outcome ?? outcome;
      }
    }
    const servedBy = String(response.headers['hyssopspread-served-by'] ?? '');
    const requestId = String(response.headers['x-request-id'] ?? '');
    return { status: response.statusCode, servedBy, host, requestId, text, outcome };
  };
  return { host, answer: read() };
}

/** Sends a streamed completion and reads it to its end. */
export async function stream(caller: CallerAddress, maxTokens: number): Promise<StreamedAnswer> {
  return (await openStream(caller, maxTokens)).answer;
}

/** The text with which the stand-in engines answer. */
export function expectedText(maxTokens: number): string {
  return completionText(MODEL, PROMPT, maxTokens);
}
