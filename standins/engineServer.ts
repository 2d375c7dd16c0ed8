import type { IncomingMessage, ServerResponse } from 'node:http';
import polka from 'polka';
import { z } from 'zod';
import { listenHttp, readBody, respondJson } from '../http/mod.ts';
import type { HttpAddress, HttpListener } from '../http/mod.ts';
import type { EngineCall, EngineEvent, EngineOrder } from '../tasks/ports/mod.ts';
import type { SimulatedEngine } from './simulatedEngine.ts';

const MAX_BODY_BYTES = 4 * 1024 * 1024;

const completionSchema = z.object({
  model: z.string(),
  prompt: z.string(),
  max_tokens: z.int().min(1),
});

const adapterOrderSchema = z.object({ lora_name: z.string() });

async function readJson<T>(request: IncomingMessage, schema: z.ZodType<T>): Promise<T> {
  const result = await readBody(request, MAX_BODY_BYTES);
  if (result.kind !== 'body') throw new Error(`the body is ${result.kind}`);
  return schema.parse(JSON.parse(result.text));
}

function headerValue(request: IncomingMessage, name: string): string {
  const value = request.headers[name];
  return typeof value === 'string' ? value : '';
}

/** Writes the events of a stream as chunks of the completions API, in server-sent events. */
class CompletionStreamWriter {
  readonly #response: ServerResponse;

  #servedBy = '';

  constructor(response: ServerResponse) {
    this.#response = response;
  }

  write(event: EngineEvent): void {
    switch (event.kind) {
      case 'started':
        this.#servedBy = event.servedBy;
        return;
      case 'chunk':
        this.#writeHead();
        this.#writeChunk([
          { index: 0, text: event.text, tokens: event.tokens, finish_reason: null },
        ]);
        return;
      case 'ended':
        this.#writeHead();
        this.#writeChunk([{ index: 0, text: '', finish_reason: 'stop' }], {
          completion_tokens: event.tokens,
        });
        this.#response.end('data: [DONE]\n\n');
        return;
      case 'refused':
        respondJson(this.#response, 404, { error: event.detail });
        return;
      default:
        this.#response.destroy();
    }
  }

  #writeHead(): void {
    if (!this.#response.headersSent) {
      this.#response.writeHead(200, { 'Content-Type': 'text/event-stream' });
    }
  }

  #writeChunk(choices: readonly unknown[], usage?: { readonly completion_tokens: number }): void {
    const chunk = { object: 'text_completion', model: this.#servedBy, choices, usage };
    this.#response.write(`data: ${JSON.stringify(chunk)}\n\n`);
  }
}

async function serveCompletion(
  engine: SimulatedEngine,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const body = await readJson(request, completionSchema);
  const call: EngineCall = {
    stream: headerValue(request, 'x-stream-id'),
    adapterVersion: body.model,
    prompt: body.prompt,
    maxTokens: body.max_tokens,
    priority: Number(headerValue(request, 'x-priority')),
    resumeFrom: Number(headerValue(request, 'x-resume-from')),
  };
  const writer = new CompletionStreamWriter(response);
  engine.stream(call, (event) => writer.write(event));
}

async function serveOrder(
  engine: SimulatedEngine,
  kind: EngineOrder['kind'],
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const body = await readJson(request, adapterOrderSchema);
  const fencingNumber = Number(headerValue(request, 'x-fencing-number'));
  const reply = await engine.order({ kind, adapterVersion: body.lora_name, fencingNumber });
  if (reply.kind === 'obeyed') respondJson(response, 200, { status: 'ok' });
  if (reply.kind === 'fenced') respondJson(response, 412, { current: reply.current });
  if (reply.kind === 'refused') respondJson(response, 409, { error: reply.detail });
  if (reply.kind === 'lost') response.destroy();
}

async function serveState(engine: SimulatedEngine, response: ServerResponse): Promise<void> {
  const state = await engine.readState();
  respondJson(response, 200, {
    ...state,
    fencing_number: state.fencingNumber,
    batch_width: state.batchWidth,
  });
}

/**
 * Serves a stand-in engine over HTTP; docs/ENGINE.md describes the interface.
 *
 * @param engine The engine to serve.
 * @param address Address to listen on.
 */
export function serveEngine(engine: SimulatedEngine, address: HttpAddress): Promise<HttpListener> {
  const app = polka();
  const catchErrors = (work: Promise<void>, response: ServerResponse): void => {
    work.catch((error: unknown) => respondJson(response, 400, { error: String(error) }));
  };
  app.post('/v1/completions', (request, response) =>
    catchErrors(serveCompletion(engine, request, response), response),
  );
  app.post('/v1/load_lora_adapter', (request, response) =>
    catchErrors(serveOrder(engine, 'load', request, response), response),
  );
  app.post('/v1/unload_lora_adapter', (request, response) =>
    catchErrors(serveOrder(engine, 'unload', request, response), response),
  );
  app.get('/v1/engine/state', (_request, response) =>
    catchErrors(serveState(engine, response), response),
  );
  app.post('/v1/engine/streams/:stream/cancel', (request, response) => {
    engine.cancel(String(request.params.stream));
    respondJson(response, 200, { status: 'ok' });
  });
  return listenHttp(address, (request, response) => {
    app.handler(request as Parameters<typeof app.handler>[0], response);
  });
}
