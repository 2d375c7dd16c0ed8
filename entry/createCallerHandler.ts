import type { IncomingMessage, ServerResponse } from 'node:http';
import { nanoid } from 'nanoid';
import polka from 'polka';
import type { Milliseconds } from '../core/clock/mod.ts';
import { notRun } from '../core/outcome/mod.ts';
import type { NotRun } from '../core/outcome/mod.ts';
import { sha256 } from '../core/set/mod.ts';
import { onCallerGone, readBody, RequestIntake, respondJson } from '../http/mod.ts';
import type { CallerLimiter, HttpHandler } from '../http/mod.ts';
import type { Log } from '../log/mod.ts';
import { UNKNOWN_TOKEN } from '../tasks/entry/mod.ts';
import type { CallerRequest, EntryTask, SubmissionEvent } from '../tasks/entry/mod.ts';
import { CompletionResponseWriter } from './_completionResponseWriter.ts';
import { parseCompletionBody } from './_completionBody.ts';
import type { CompletionFormat } from './_completionBody.ts';
import { outcomeError, outcomeHeaders, outcomeStatus } from './outcomeStatus.ts';

/** The methods of an entry's task that the handler uses. */
export type CallerRequestTask = Pick<
  EntryTask,
  'submit' | 'abandon' | 'mayBeCallerToken' | 'modelsOf'
>;

/** Options of `createCallerHandler`. */
export type CallerHandlerOptions = {
  readonly task: CallerRequestTask;
  /** The largest request body, in bytes. @default 1048576 */
  readonly maxBodyBytes?: number;
  /** Time limit for a request. @default 60000 */
  readonly timeoutMs?: Milliseconds;
  /** Bytes of a stream that may be buffered for a slow caller. @default 262144 */
  readonly maxUnreadBytes?: number;
  readonly log: Log;
  /** Holds requests back until it is known that their callers have not left. @default a new one */
  readonly intake?: RequestIntake;
  /** Bounds what callers make the process hold. @default none */
  readonly limiter?: CallerLimiter;
};

type HttpExchange = {
  readonly requestId: string;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
};

const MEBIBYTE = 1024 * 1024;

/** Time after which a caller may return whose body was refused. */
const RETURN_DELAY_MS: Milliseconds = 1000;

const BEARER_PATTERN = /^Bearer ([\x21-\x7e]+)$/;

const IDEMPOTENCY_KEY_HEADER = 'idempotency-key';

function tokenDigest(request: IncomingMessage): string {
  const token = BEARER_PATTERN.exec(request.headers.authorization ?? '')?.[1];
  return token === undefined ? '' : sha256(token);
}

function respondRefusal(response: ServerResponse, requestId: string, outcome: NotRun): void {
  const headers = { ...outcomeHeaders(outcome), 'X-Request-Id': requestId };
  respondJson(response, outcomeStatus(outcome), outcomeError(outcome), headers);
}

/** Serves callers' HTTP requests with an entry's task. */
class CallerHandler {
  readonly #task: CallerRequestTask;

  readonly #maxBodyBytes: number;

  readonly #timeoutMs: Milliseconds;

  readonly #maxUnreadBytes: number;

  readonly #log: Log;

  readonly #intake: RequestIntake;

  readonly #limiter: CallerLimiter | undefined;

  constructor(options: CallerHandlerOptions) {
    this.#task = options.task;
    this.#maxBodyBytes = options.maxBodyBytes ?? MEBIBYTE;
    this.#timeoutMs = options.timeoutMs ?? 60_000;
    this.#maxUnreadBytes = options.maxUnreadBytes ?? MEBIBYTE / 4;
    this.#log = options.log;
    this.#intake = options.intake ?? new RequestIntake();
    this.#limiter = options.limiter;
  }

  async serveCompletion(format: CompletionFormat, exchange: HttpExchange): Promise<void> {
    const text = await this.#readText(exchange);
    if (text === undefined) return;
    const parsed = parseCompletionBody(format, text);
    if (parsed.kind === 'wrong') {
      respondRefusal(exchange.response, exchange.requestId, notRun('bad-request', parsed.detail));
      return;
    }
    const { request, stream } = parsed.body;
    const { requestId: name, response } = exchange;
    const writer = new CompletionResponseWriter(response, {
      name,
      format,
      stream,
      maxUnreadBytes: this.#maxUnreadBytes,
      onSlowCaller: () => {
        this.#log('callerTooSlow', { request: name, unreadBytes: response.writableLength });
        response.destroy();
      },
    });
    this.#submit(exchange, request, (event) => writer.write(event));
  }

  async serveServiceCall(service: string, exchange: HttpExchange): Promise<void> {
    const body = await this.#readText(exchange);
    if (body === undefined) return;
    const key = exchange.request.headers[IDEMPOTENCY_KEY_HEADER];
    if (typeof key !== 'string') {
      const remedy = `create one with POST /v1/services/${service}/keys`;
      const outcome = notRun('bad-request', `the Idempotency-Key header is missing; ${remedy}`);
      respondRefusal(exchange.response, exchange.requestId, outcome);
      return;
    }
    this.serveServiceRequest({ kind: 'service-call', service, key, body }, exchange);
  }

  serveServiceRequest(request: CallerRequest, exchange: HttpExchange): void {
    this.#submit(exchange, request, (event) => {
      if (event.kind !== 'final') return;
      const { outcome, body, generation } = event;
      const headers = { ...outcomeHeaders(outcome), 'X-Request-Id': exchange.requestId };
      const error = outcome.kind === 'done' ? {} : outcomeError(outcome);
      const result =
        request.kind === 'mint-key' && outcome.kind === 'done' ? { key: body } : { answer: body };
      respondJson(
        exchange.response,
        outcomeStatus(outcome),
        { outcome: outcome.kind, generation, ...result, ...error },
        headers,
      );
    });
  }

  serveModels(exchange: HttpExchange): void {
    const names = this.#task.modelsOf(tokenDigest(exchange.request));
    const data = names.map((id) => ({ id, object: 'model' }));
    respondJson(exchange.response, 200, { object: 'list', data });
  }

  /** Reads the request body; refuses an unknown token before reading it. */
  async #readText(exchange: HttpExchange): Promise<string | undefined> {
    if (!this.#task.mayBeCallerToken(tokenDigest(exchange.request))) {
      exchange.request.resume();
      exchange.response.setHeader('Connection', 'close');
      respondRefusal(exchange.response, exchange.requestId, UNKNOWN_TOKEN);
      return undefined;
    }
    const result = await readBody(exchange.request, this.#maxBodyBytes, this.#limiter);
    if (result.kind === 'body') return result.text;
    const { response, requestId: name } = exchange;
    if (result.kind === 'too-large') {
      const outcome = notRun(
        'too-large',
        `the body is over ${result.limitBytes} bytes; shorten it`,
      );
      response.setHeader('Connection', 'close');
      respondRefusal(response, name, outcome);
    }
    if (result.kind === 'refused') {
      response.setHeader('Connection', 'close');
      const detail = 'callers send too much at once; send the request again later';
      respondRefusal(response, name, notRun('overloaded', detail, RETURN_DELAY_MS));
    }
    if (result.kind === 'not-utf8') {
      respondRefusal(response, name, notRun('bad-request', 'the body is not UTF-8; send UTF-8'));
    }
    return undefined;
  }

  #submit(
    exchange: HttpExchange,
    request: CallerRequest,
    onEvent: (event: SubmissionEvent) => void,
  ): void {
    const { requestId: name, request: message, response } = exchange;
    const tokenSha256 = tokenDigest(message);
    this.#intake.add({
      request: message,
      response,
      handle: () => {
        onCallerGone(message, response, () => this.#task.abandon(name));
        this.#task.submit({
          requestId: name,
          tokenSha256,
          request,
          timeoutMs: this.#timeoutMs,
          onEvent,
        });
      },
      onCallerGone: () => this.#log('callerGone', { request: name }),
    });
  }
}

/** The allowed method of each path, for 405 responses. */
const ROUTES: readonly { readonly path: RegExp; readonly allowed: string }[] = [
  { path: /^\/v1\/(chat\/)?completions$/, allowed: 'POST' },
  { path: /^\/v1\/models$/, allowed: 'GET' },
  { path: /^\/v1\/services\/[^/]+\/[^/]+\/(keys|calls)$/, allowed: 'POST' },
  { path: /^\/v1\/services\/[^/]+\/[^/]+\/keys\/[^/]+$/, allowed: 'DELETE' },
  { path: /^\/v1\/services\/[^/]+\/[^/]+\/calls\/[^/]+$/, allowed: 'GET' },
];

function respondNoMatch(request: IncomingMessage, response: ServerResponse): void {
  const path = (request.url ?? '').split('?')[0] ?? '';
  const method = ROUTES.find((each) => each.path.test(path))?.allowed;
  const requestId = nanoid();
  if (method === undefined) {
    respondRefusal(
      response,
      requestId,
      notRun('not-found', `there is no ${path}; see docs/API.md`),
    );
    return;
  }
  response.setHeader('Allow', method);
  const outcome = notRun('bad-request', `${path} takes ${method}, not ${request.method}`);
  const headers = { ...outcomeHeaders(outcome), 'X-Request-Id': requestId };
  respondJson(response, 405, outcomeError(outcome), headers);
}

/**
 * Creates the HTTP handler for callers' requests.
 *
 * @param options The entry's task, limits and log.
 */
export function createCallerHandler(options: CallerHandlerOptions): HttpHandler {
  const handler = new CallerHandler(options);
  const createExchange = (request: IncomingMessage, response: ServerResponse): HttpExchange => ({
    requestId: nanoid(),
    request,
    response,
  });
  const app = polka({ onNoMatch: respondNoMatch });
  app.post('/v1/completions', (request, response) => {
    handler
      .serveCompletion('text', createExchange(request, response))
      .catch(() => response.destroy());
  });
  app.post('/v1/chat/completions', (request, response) => {
    handler
      .serveCompletion('chat', createExchange(request, response))
      .catch(() => response.destroy());
  });
  app.get('/v1/models', (request, response) =>
    handler.serveModels(createExchange(request, response)),
  );
  app.post('/v1/services/:tenant/:service/keys', (request, response) => {
    const service = `${request.params.tenant}/${request.params.service}`;
    handler.serveServiceRequest({ kind: 'mint-key', service }, createExchange(request, response));
  });
  app.delete('/v1/services/:tenant/:service/keys/:key', (request, response) => {
    const service = `${request.params.tenant}/${request.params.service}`;
    const key = String(request.params.key);
    handler.serveServiceRequest(
      { kind: 'revoke-key', service, key },
      createExchange(request, response),
    );
  });
  app.post('/v1/services/:tenant/:service/calls', (request, response) => {
    const service = `${request.params.tenant}/${request.params.service}`;
    handler
      .serveServiceCall(service, createExchange(request, response))
      .catch(() => response.destroy());
  });
  app.get('/v1/services/:tenant/:service/calls/:key', (request, response) => {
    const service = `${request.params.tenant}/${request.params.service}`;
    const key = String(request.params.key);
    handler.serveServiceRequest(
      { kind: 'lookup-key', service, key },
      createExchange(request, response),
    );
  });
  return (request, response) => {
    app.handler(request as Parameters<typeof app.handler>[0], response);
  };
}
