import { Agent, request } from 'undici';
import type { Dispatcher } from 'undici';

/** Where streams are opened: an entry, or an engine directly. */
export type StreamTarget = {
  readonly url: string;
  readonly headers: Readonly<Record<string, string>>;
};

/** A stream that has received its first token. */
export type CountedStream = {
  readonly firstTokenMs: number;
  /** Resolves with the number of tokens received once the stream ends or is closed. */
  readonly tokens: Promise<number>;
  readonly close: () => void;
};

const MODEL = 't/a@1';

const EVENT_PREFIX = Buffer.from('data: ');

/** Events of a complete stream without a token: the final chunk and `[DONE]`. */
const NON_TOKEN_EVENTS = 2;

const agent = new Agent({ connections: null, pipelining: 1, bodyTimeout: 0, headersTimeout: 0 });

let streamCount = 0;

function countEvents(bytes: Buffer): number {
  let count = 0;
  let at = bytes.indexOf(EVENT_PREFIX);
  while (at >= 0) {
    count += 1;
    at = bytes.indexOf(EVENT_PREFIX, at + EVENT_PREFIX.length);
  }
  return count;
}

async function countRemainingTokens(
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
  return events - NON_TOKEN_EVENTS;
}

/**
 * Opens a stream and waits for its first token.
 *
 * @param onTokens Called with the number of tokens in each received buffer.
 */
export async function openCountedStream(
  target: StreamTarget,
  maxTokens: number,
  onTokens: (count: number) => void = () => undefined,
): Promise<CountedStream> {
  streamCount += 1;
  const controller = new AbortController();
  const startedAt = performance.now();
  const response = await request(`${target.url}/v1/completions`, {
    dispatcher: agent,
    method: 'POST',
    signal: controller.signal,
    headers: { ...target.headers, 'x-stream-id': `bench-${streamCount}`, 'x-resume-from': '0' },
    body: JSON.stringify({ model: MODEL, prompt: 'p', max_tokens: maxTokens, stream: true }),
  });
  if (response.statusCode !== 200) throw new Error(await response.body.text());
  const first = new Promise<number>((resolve) => {
    response.body.once('readable', () => resolve(performance.now() - startedAt));
  });
  const firstTokenMs = await first;
  return {
    firstTokenMs,
    tokens: countRemainingTokens(response.body, onTokens),
    close: () => controller.abort(),
  };
}
