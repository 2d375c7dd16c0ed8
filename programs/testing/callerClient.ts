import { request } from 'undici';
import { EventSplitter } from '../../http/mod.ts';
import { wholeAnswer } from '../../standins/mod.ts';

/** What a caller got of a streamed completion. */
export type StreamedAnswer = {
  readonly status: number;
  readonly servedBy: string;
  readonly host: string;
  readonly requestName: string;
  readonly text: string;
  /** The outcome in the last event. */
  readonly outcome: string;
};

/** A streamed completion whose first token has come. */
export type OpenStream = { readonly host: string; readonly answer: Promise<StreamedAnswer> };

/** Where and as whom to send requests. */
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
    const splitter = new EventSplitter();
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
    const requestName = String(response.headers['x-request-id'] ?? '');
    return { status: response.statusCode, servedBy, host, requestName, text, outcome };
  };
  return { host, answer: read() };
}

/** Sends a streamed completion and reads all of it. */
export async function stream(caller: CallerAddress, maxTokens: number): Promise<StreamedAnswer> {
  return (await openStream(caller, maxTokens)).answer;
}

/** The text that the stand-in engines answer with. */
export function expectedText(maxTokens: number): string {
  return wholeAnswer(MODEL, PROMPT, maxTokens);
}
