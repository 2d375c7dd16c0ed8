import { request } from 'undici';
import type { Dispatcher } from 'undici';
import { z } from 'zod';
import type { Milliseconds } from '../core/clock/mod.ts';
import { ServerSentEventParser } from '../http/mod.ts';
import type { Engine, EngineCall, EngineEvent, OrderReply } from '../tasks/ports/mod.ts';

/** Options of `createHttpEngine`. */
export type HttpEngineOptions = {
  /** Base URL of the engine, such as `http://127.0.0.1:8000`. */
  readonly url: string;
  /** Timeout of an order, a state read or a cancellation. @default 5000 */
  readonly orderTimeoutMs?: Milliseconds;
};

const stateSchema = z.object({
  incarnation: z.string(),
  fencing_number: z.int(),
  resident: z.array(z.string()),
  slots: z.int(),
  batch_width: z.int(),
  running: z.int(),
  waiting: z.int(),
});

const chunkSchema = z.object({
  model: z.string(),
  choices: z.array(
    z.object({
      text: z.string(),
      tokens: z.int().default(1),
      finish_reason: z.string().nullable(),
    }),
  ),
  usage: z.object({ completion_tokens: z.int() }).optional(),
});

const fencedSchema = z.object({ current: z.int() });

const ORDER_PATHS = { load: '/v1/load_lora_adapter', unload: '/v1/unload_lora_adapter' } as const;

const FENCED_STATUS = 412;

const OK_STATUS = 200;

const CONNECT_ERRORS: ReadonlySet<string> = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT']);

/** Tells whether an error proves that a request never reached its server. */
export function isConnectError(error: unknown): boolean {
  const code = (error as { readonly code?: unknown } | undefined)?.code;
  return typeof code === 'string' && CONNECT_ERRORS.has(code);
}

async function readReply(response: Dispatcher.ResponseData): Promise<OrderReply> {
  const text = await response.body.text();
  if (response.statusCode === OK_STATUS) return { kind: 'obeyed' };
  if (response.statusCode === FENCED_STATUS) {
    return { kind: 'fenced', current: fencedSchema.parse(JSON.parse(text)).current };
  }
  return { kind: 'refused', detail: text };
}

/** Turns the server-sent events of one stream into engine events. */
class StreamReader {
  readonly #onEvent: (event: EngineEvent) => void;

  readonly #eventParser = new ServerSentEventParser();

  #started = false;

  #ended = false;

  constructor(onEvent: (event: EngineEvent) => void) {
    this.#onEvent = onEvent;
  }

  get ended(): boolean {
    return this.#ended;
  }

  push(bytes: Uint8Array): void {
    this.#eventParser.push(bytes).forEach((data) => this.#handleData(data));
  }

  #handleData(data: string): void {
    if (this.#ended || data === '' || data === '[DONE]') return;
    const chunk = chunkSchema.parse(JSON.parse(data));
    if (!this.#started) {
      this.#started = true;
      this.#onEvent({ kind: 'started', servedBy: chunk.model });
    }
    const choice = chunk.choices[0];
    if (choice !== undefined && choice.text !== '') {
      this.#onEvent({ kind: 'chunk', text: choice.text, tokens: choice.tokens });
    }
    if (chunk.usage === undefined || typeof choice?.finish_reason !== 'string') return;
    this.#ended = true;
    this.#onEvent({ kind: 'ended', tokens: chunk.usage.completion_tokens });
  }
}

async function openStream(
  url: string,
  call: EngineCall,
  signal: AbortSignal,
): Promise<Dispatcher.ResponseData> {
  return request(`${url}/v1/completions`, {
    method: 'POST',
    signal,
    bodyTimeout: 0,
    headersTimeout: 0,
    headers: {
      'content-type': 'application/json',
      'x-stream-id': call.stream,
      'x-priority': String(call.priority),
      'x-resume-from': String(call.resumeFrom),
    },
    body: JSON.stringify({
      model: call.adapterVersion,
      prompt: call.prompt,
      max_tokens: call.maxTokens,
      stream: true,
    }),
  });
}

async function readStream(
  url: string,
  call: EngineCall,
  signal: AbortSignal,
  onEvent: (event: EngineEvent) => void,
): Promise<void> {
  const reader = new StreamReader(onEvent);
  let hasResponse = false;
  try {
    const response = await openStream(url, call, signal);
    hasResponse = true;
    if (response.statusCode !== OK_STATUS) {
      onEvent({ kind: 'refused', detail: await response.body.text() });
      return;
    }
    for await (const bytes of response.body) reader.push(bytes as Uint8Array);
    if (!reader.ended) onEvent({ kind: 'lost', detail: 'the engine closed the stream early' });
  } catch (error) {
    if (signal.aborted) return;
    const kind = !hasResponse && isConnectError(error) ? 'refused' : 'lost';
    onEvent({ kind, detail: `the request to the engine failed: ${String(error)}` });
  }
}

/**
 * Creates the HTTP client of an engine; docs/ENGINE.md describes the interface.
 *
 * @param options The engine's URL and timeout.
 */
export function createHttpEngine(options: HttpEngineOptions): Engine {
  const { url, orderTimeoutMs = 5000 } = options;
  const timeouts = { headersTimeout: orderTimeoutMs, bodyTimeout: orderTimeoutMs };
  return {
    readState: async () => {
      const response = await request(`${url}/v1/engine/state`, timeouts);
      const state = stateSchema.parse(await response.body.json());
      return {
        ...state,
        fencingNumber: state.fencing_number,
        batchWidth: state.batch_width,
      };
    },
    order: async (order) => {
      try {
        const response = await request(`${url}${ORDER_PATHS[order.kind]}`, {
          ...timeouts,
          method: 'POST',
          headers: {
            'content-type': 'application/json',
            'x-fencing-number': String(order.fencingNumber),
          },
          body: JSON.stringify({ lora_name: order.adapterVersion }),
        });
        return await readReply(response);
      } catch (error) {
        const detail = String(error);
        return isConnectError(error) ? { kind: 'refused', detail } : { kind: 'lost', detail };
      }
    },
    stream: (call, onEvent) => {
      const controller = new AbortController();
      readStream(url, call, controller.signal, onEvent).catch((error: unknown) =>
        onEvent({ kind: 'lost', detail: String(error) }),
      );
      return () => {
        controller.abort();
        request(`${url}/v1/engine/streams/${call.stream}/cancel`, { ...timeouts, method: 'POST' })
          .then((response) => response.body.dump())
          .catch(() => undefined);
      };
    },
  };
}
