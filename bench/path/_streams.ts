import { Agent, request } from 'undici';
import type { Dispatcher } from 'undici';

/** Where streams are opened: an entry, or an engine asked directly. */
export type StreamTarget = {
  readonly url: string;
  readonly headers: Readonly<Record<string, string>>;
};

/** A stream whose first token has come. */
export type CountedStream = {
  readonly firstTokenMs: number;
  /** Settles with the tokens that came, once the stream has ended or was closed. */
  readonly tokens: Promise<number>;
  readonly close: () => void;
};

const MODEL = 't/a@1';

const EVENT_START = Buffer.from('data: ');

/** Events of a stream that carry no token: the last one and the end mark. */
const CLOSING_EVENTS = 2;

const agent = new Agent({ connections: null, pipelining: 1, bodyTimeout: 0, headersTimeout: 0 });

let streams = 0;

function countEvents(bytes: Buffer): number {
  let count = 0;
  let at = bytes.indexOf(EVENT_START);
  while (at >= 0) {
    count += 1;
    at = bytes.indexOf(EVENT_START, at + EVENT_START.length);
  }
  return count;
}

async function countRest(
  body: Dispatcher.ResponseData['body'],
  onTokens: (count: number) => void,
): Promise<number> {
  let events = 0;
  try {
    for await (const bytes of body) {
      const count = countEvents(bytes as Buffer);
      events += count;
      onTokens(count);
    }
  } catch {
    return events;
  }
  return events - CLOSING_EVENTS;
}

/** Opens a stream and waits for its first token. */
export async function openCountedStream(
  target: StreamTarget,
  maxTokens: number,
  onTokens: (count: number) => void = () => undefined,
): Promise<CountedStream> {
  streams += 1;
  const controller = new AbortController();
  const startedAt = performance.now();
  const response = await request(`${target.url}/v1/completions`, {
    dispatcher: agent,
    method: 'POST',
    signal: controller.signal,
    headers: { ...target.headers, 'x-stream-id': `bench-${streams}`, 'x-resume-from': '0' },
    body: JSON.stringify({ model: MODEL, prompt: 'p', max_tokens: maxTokens, stream: true }),
  });
  if (response.statusCode !== 200) throw new Error(await response.body.text());
  const first = new Promise<number>((resolve) => {
    response.body.once('readable', () => resolve(performance.now() - startedAt));
  });
  const firstTokenMs = await first;
  return {
    firstTokenMs,
    tokens: countRest(response.body, onTokens),
    close: () => controller.abort(),
  };
}
